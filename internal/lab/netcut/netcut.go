// Package netcut forwards the peer traffic of a lab run's daemons and can cut
// the link between any two of them. It tells who connects by the source IP.
package netcut

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

type link struct{ from, to string }

// Network forwards connections between hosts named by IP. It is safe for
// concurrent use.
type Network struct {
	mutex       sync.Mutex
	cut         map[link]bool
	connections map[net.Conn]link
	listeners   []net.Listener
}

// New returns a network without links.
func New() *Network {
	return &Network{cut: map[link]bool{}, connections: map[net.Conn]link{}}
}

// Forward listens on an address and passes connections on to a target.
func (network *Network) Forward(listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "netcut")
	}
	network.mutex.Lock()
	network.listeners = append(network.listeners, listener)
	network.mutex.Unlock()
	go network.accept(listener, target)
	return nil
}

func (network *Network) accept(listener net.Listener, target string) {
	for {
		incoming, err := listener.Accept()
		if err != nil {
			return
		}
		go network.carry(incoming, target)
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (network *Network) carry(incoming net.Conn, target string) {
	path := link{from: hostOf(incoming.RemoteAddr().String()), to: hostOf(target)}
	defer func() { _ = incoming.Close() }()
	if !network.add(incoming, path) {
		return
	}
	defer network.remove(incoming)
	outgoing, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = outgoing.Close() }()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(outgoing, incoming)
	go pipe(incoming, outgoing)
	<-done
}

func (network *Network) add(connection net.Conn, path link) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.cut[path] {
		return false
	}
	network.connections[connection] = path
	return true
}

func (network *Network) remove(connection net.Conn) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.connections, connection)
}

// Cut ends every connection from one host to another and refuses new ones.
func (network *Network) Cut(from, to string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	path := link{from: from, to: to}
	network.cut[path] = true
	for connection, held := range network.connections {
		if held == path {
			_ = connection.Close()
		}
	}
}

// Heal lets one host connect to another again.
func (network *Network) Heal(from, to string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.cut, link{from: from, to: to})
}

// Close ends all forwarding.
func (network *Network) Close() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, listener := range network.listeners {
		_ = listener.Close()
	}
	for connection := range network.connections {
		_ = connection.Close()
	}
}

package process

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports given out are below those that the system takes for outgoing
// connections and for listeners on any port, and each is claimed until the program
// ends. So nothing else takes a port between its choice and its use, or while a daemon
// that listens there is restarted.
const (
	firstPort = 12000
	lastPort  = 30000
)

// ErrNoAddress: no free port was found.
var ErrNoAddress = errors.New("process: no free port")

// portsTried counts the ports looked at. Programs that run at the same time begin at
// ports of their own, so that they seldom meet another's claims.
var portsTried atomic.Int64

// portsPerProgram is how far apart two programs begin.
const portsPerProgram = 128

// claims are the UDP sockets that hold the claims; the system releases them with the program.
var claims sync.Map

// FreeAddress returns a loopback address on which nobody listens, another one at
// each call, and never one that another program of this package has.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		next := int64(os.Getpid())*portsPerProgram + portsTried.Add(1)
		address := "127.0.0.1:" + strconv.FormatInt(firstPort+next%(lastPort-firstPort), 10)
		if !claim(address) {
			continue
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "process: address")
		}
		return address, nil
	}
	return "", ErrNoAddress
}

// claim takes the UDP port of the same number, which nothing here uses for traffic. It
// says whether the address was not claimed yet.
func claim(address string) bool {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	claims.Store(address, socket)
	return true
}

// FreeAddresses sets each of the variables to a FreeAddress.
func FreeAddresses(addresses ...*string) (err error) {
	for _, address := range addresses {
		if *address, err = FreeAddress(); err != nil {
			return err
		}
	}
	return nil
}

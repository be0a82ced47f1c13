package process

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports given out are below those that the system takes for outgoing
// connections, so that nothing else takes a port between its choice and its use,
// or while a daemon that listens there is restarted.
const (
	firstPort = 12000
	lastPort  = 30000
	portTries = 100
)

// ErrNoAddress: no free port was found.
var ErrNoAddress = errors.New("process: no free port")

// portsTried counts the ports looked at. Programs that run at the same time begin at
// ports of their own, so that two of them do not choose the same.
var portsTried atomic.Int64

// portsPerProgram is how far apart two programs begin.
const portsPerProgram = 128

// FreeAddress returns a loopback address on which nobody listens, another one at
// each call.
func FreeAddress() (string, error) {
	for range portTries {
		next := int64(os.Getpid())*portsPerProgram + portsTried.Add(1)
		address := "127.0.0.1:" + strconv.FormatInt(firstPort+next%(lastPort-firstPort), 10)
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

// FreeAddresses sets each of the variables to a FreeAddress.
func FreeAddresses(addresses ...*string) (err error) {
	for _, address := range addresses {
		if *address, err = FreeAddress(); err != nil {
			return err
		}
	}
	return nil
}

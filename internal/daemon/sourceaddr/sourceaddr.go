// Package sourceaddr makes dialers that connect from one local IP.
package sourceaddr

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// bindAddressNoPort is Linux's IP_BIND_ADDRESS_NO_PORT: the port is chosen at
// connect, unique for the destination. Without it a bound source takes a port
// away from every destination, and some 28,000 connections use them all up.
const bindAddressNoPort = 24

// Dialer returns a dialer that connects from the IP of a local address
// (IP:port), or from any if that is "".
func Dialer(local string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	parsed, err := netip.ParseAddrPort(local)
	if err != nil {
		return dialer // "", as settings refuse what is no address
	}
	dialer.LocalAddr = &net.TCPAddr{IP: parsed.Addr().AsSlice()}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_IP, bindAddressNoPort, 1)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	return dialer
}

package site

import (
	"errors"
	"net/netip"
)

var errNotOneMachine = errors.New("not the IP address of one machine with a port above zero")

// isBroadcast reports whether an address stands for all machines in a network.
func isBroadcast(ip netip.Addr) bool { return ip.Is4() && ip.As4() == [4]byte{255, 255, 255, 255} }

// ParseAddress parses the IP address of one machine with a port, such as 10.1.2.3:8000 or [fd00::1]:8000. It fails on host
// names, on ports that don't exist, on addresses with a zone, and on those that stand for any or for several machines.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errNotOneMachine
	}
	ip := address.Addr().Unmap()
	if address.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || isBroadcast(ip) {
		return netip.AddrPort{}, errNotOneMachine
	}
	return netip.AddrPortFrom(ip, address.Port()), nil
}

// Package port provides ports of the loopback address for tests.
package port

import (
	"fmt"
	"net/netip"
	"syscall"
)

// Refusing returns an address that refuses connections until free is called: its port is
// bound, so that no listener gets it in the meantime, but not listened to.
func Refusing() (address string, free func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("open socket: %w", err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		_ = syscall.Close(fd)

		return "", nil, fmt.Errorf("bind port: %w", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		_ = syscall.Close(fd)

		return "", nil, fmt.Errorf("read bound port: %w", err)
	}
	number := bound.(*syscall.SockaddrInet4).Port //nolint:forcetypeassert // The socket is of this family.

	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(number)).String(), func() { _ = syscall.Close(fd) }, nil //nolint:gosec // A port has 16 bits.
}

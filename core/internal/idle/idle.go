// Package idle looks at connections that wait for their next request.
package idle

import "syscall"

// Clean tells whether a connection is still open and has no unexpected byte
// waiting. It looks at the next byte without taking it or waiting for it.
func Clean(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = err == syscall.EAGAIN
	})
	return err == nil && clean
}

// Package idle looks at connections that wait for their next request.
package idleconn

import "syscall"

// IsReusable tells whether a connection is still open and has no unexpected byte
// waiting.
func IsReusable(conn syscall.Conn) bool {
	_, err := peekByte(conn)
	return err == syscall.EAGAIN //nolint:errorlint // The system call's own number.
}

// IsClosedByPeer tells whether the other end has closed a connection and all that it sent
// has been read.
func IsClosedByPeer(conn syscall.Conn) bool {
	n, err := peekByte(conn)
	return n == 0 && err == nil
}

// peekByte looks at the next byte without taking it or waiting for it. It returns 0 and
// no error at the end of the stream.
func peekByte(conn syscall.Conn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var next [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

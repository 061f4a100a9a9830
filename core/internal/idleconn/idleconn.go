// Package idleconn checks idle connections between two requests, without reading from
// them.
package idleconn

import "syscall"

// IsReusable reports whether a connection is still open and has no unexpected data to
// read.
func IsReusable(conn syscall.Conn) bool {
	_, err := peekByte(conn)
	return err == syscall.EAGAIN //nolint:errorlint // The system call returns it unwrapped.
}

// IsClosedByPeer reports whether the peer has closed a connection and all data that it
// sent has been read.
func IsClosedByPeer(conn syscall.Conn) bool {
	n, err := peekByte(conn)
	return n == 0 && err == nil
}

// HasUnread reports whether the peer has sent data that has not been read.
func HasUnread(conn syscall.Conn) bool {
	n, err := peekByte(conn)
	return n > 0 && err == nil
}

// peekByte returns the number of bytes, 0 or 1, that can be read next, without consuming
// them or blocking. It returns 0 and no error at the end of the stream, and EAGAIN if
// the connection is open without data.
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

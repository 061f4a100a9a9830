package upstreamserver

import (
	"context"
	"net"
	"syscall"
	"time"
)

// watchPeerClose returns a context that is cancelled when the peer closes the
// connection, and a function that stops the watch and waits for it to end. fasthttp does
// not read from a connection while a handler runs, so the watch peeks at the next byte
// of the socket without consuming it. A byte that arrives ends the watch, as it belongs
// to the next request. A connection other than TCP is not watched.
func watchPeerClose(conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return ctx, cancel
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		closed := false
		// Read returns with closed unset when the stop function sets the read deadline.
		_ = raw.Read(func(fd uintptr) bool {
			var next [1]byte
			n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err == syscall.EAGAIN || err == syscall.EINTR {
				return false
			}
			closed = n == 0 || err != nil
			return true
		})
		if closed {
			cancel()
		}
	}()
	return ctx, func() {
		_ = tcp.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = tcp.SetReadDeadline(time.Time{})
		cancel()
	}
}

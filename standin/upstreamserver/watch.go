package upstreamserver

import (
	"context"
	"net"
	"syscall"
	"time"
)

// watchPeerClose returns a context that ends when the peer closes the connection,
// and a function that ends the watch. fasthttp doesn't read from a connection
// while a handler runs, so the watch looks at the socket's next byte without
// taking it.
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
		// Read returns without a verdict when its deadline is set below.
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

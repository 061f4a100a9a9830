package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode selects how a proxy treats connections.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards all bytes with a delay of proxyDelay.
	Delay
	// Silence holds back all bytes and closes no connections.
	Silence
	// OneWay holds back the bytes from the target and forwards those to it.
	OneWay
	// Reset closes the open connections and each new one with a TCP reset.
	Reset
	// Stall permanently stops forwarding on the open connections, without closing
	// them, and forwards new connections.
	Stall
	modeCount
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "oneWay", "reset", "stall"}[m]
}

const (
	// proxyDelay is the delay of each chunk in the mode Delay.
	proxyDelay = 300 * time.Millisecond
	// modePollInterval is the pause between two checks of whether a chunk that is held
	// back may be forwarded.
	modePollInterval = 20 * time.Millisecond
	// maxChunkBytes is the size of the read buffer.
	maxChunkBytes = 16 << 10
)

// Proxy forwards TCP connections from one address to another and disturbs them
// according to its mode. It is safe for concurrent use.
type Proxy struct {
	target string
	links  ProxyLinks
	// unbinding is held while the port is closed.
	unbinding sync.Mutex
	mu        sync.Mutex
	listener  net.Listener
	mode      Mode
	// stallCount is the number of times that the mode was set to Stall. Connections
	// that were opened at a lower count are stalled.
	stallCount int
	// connections has both sides of the open connections.
	connections map[net.Conn]bool
}

// NewProxy returns a proxy that listens at an address and forwards to a target, in
// the mode Pass.
func NewProxy(address, target string) (*Proxy, error) {
	return NewLinkedProxy(address, target, ProxyLinks{})
}

// NewLinkedProxy is NewProxy for connections that pass links.
func NewLinkedProxy(address, target string, links ProxyLinks) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, links: links, connections: make(map[net.Conn]bool)}
	go p.acceptConnections(l)
	return p, nil
}

// SetMode changes the mode, also for the open connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Stall {
		p.stallCount++
	}
	if mode == Reset {
		for conn := range p.connections {
			resetConnection(conn)
		}
	}
}

// Close stops listening and closes the open connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.listener.Close()
	for conn := range p.connections {
		_ = conn.Close()
	}
	return err
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Unbind closes the port for a time, so that connections are refused, and binds it again. With reset, it
// resets the open connections too. A port that is closed already stays so.
func (p *Proxy) Unbind(length time.Duration, reset bool) error {
	if !p.unbinding.TryLock() {
		return nil
	}
	defer p.unbinding.Unlock()
	p.mu.Lock()
	l := p.listener
	if reset {
		for conn := range p.connections {
			resetConnection(conn)
		}
	}
	p.mu.Unlock()
	err := l.Close()
	time.Sleep(length)
	bound, bindErr := net.Listen("tcp", l.Addr().String())
	if bindErr != nil {
		return errors.Join(err, bindErr)
	}
	p.mu.Lock()
	p.listener = bound
	p.mu.Unlock()
	go p.acceptConnections(bound)
	return err
}

func (p *Proxy) acceptConnections(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.serveConnection(conn)
	}
}

// serveConnection forwards a connection in both directions until both have ended.
func (p *Proxy) serveConnection(client net.Conn) {
	p.mu.Lock()
	mode, stallCount := p.mode, p.stallCount
	p.mu.Unlock()
	if mode == Reset {
		resetConnection(client)
		return
	}
	dialer := net.Dialer{}
	if p.links.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.links.LocalIP)}
	}
	target, err := dialer.Dial("tcp", p.target)
	if err != nil {
		resetConnection(client)
		return
	}
	p.mu.Lock()
	p.connections[client], p.connections[target] = true, true
	p.mu.Unlock()
	var clientLink *Link
	if address, ok := client.RemoteAddr().(*net.TCPAddr); ok && p.links.OfClient != nil {
		clientLink = p.links.OfClient(address.IP.String())
	}
	var directions sync.WaitGroup
	directions.Go(func() {
		p.forward(target, client, stallCount, false, func(n int) {
			clientLink.carry(linkOut, n)
			p.links.OfTarget.carry(linkIn, n)
		})
	})
	directions.Go(func() {
		p.forward(client, target, stallCount, true, func(n int) {
			p.links.OfTarget.carry(linkOut, n)
			clientLink.carry(linkIn, n)
		})
	})
	directions.Wait()
	p.mu.Lock()
	delete(p.connections, client)
	delete(p.connections, target)
	p.mu.Unlock()
	_ = client.Close()
	_ = target.Close()
}

// forward copies one direction of a connection, subject to the mode. stallCount is
// the proxy's count when the connection was opened, fromTarget the direction. carry waits until the
// links have sent a number of bytes.
func (p *Proxy) forward(to, from net.Conn, stallCount int, fromTarget bool, carry func(bytes int)) {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			carry(n)
			p.waitForMode(stallCount, fromTarget)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// waitForMode blocks until a chunk may be forwarded, or until the proxy has no open
// connections. It never lets a chunk of a stalled connection pass before that.
func (p *Proxy) waitForMode(stallCount int, fromTarget bool) {
	for {
		p.mu.Lock()
		mode, currentStallCount, noneOpen := p.mode, p.stallCount, len(p.connections) == 0
		p.mu.Unlock()
		switch {
		case noneOpen:
			return
		case currentStallCount != stallCount: // stalled permanently
		case mode == Delay:
			time.Sleep(proxyDelay)
			return
		case mode == Silence, mode == OneWay && fromTarget:
		default:
			return
		}
		time.Sleep(modePollInterval)
	}
}

package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with connections.
type Mode int

// The modeCount of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards them late.
	Delay
	// Silence forwards none and closes nothing.
	Silence
	// OneWay forwards none of the answers.
	OneWay
	// Reset ends the open connections with a reset and every new one.
	Reset
	// Stall silences the open connections for good and passes new ones.
	Stall
	modeCount
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "oneWay", "reset", "stall"}[m]
}

const (
	// proxyDelay is how late Delay forwards a piece.
	proxyDelay = 300 * time.Millisecond
	// modePollInterval is the time between two looks at whether a silence is over.
	modePollInterval = 20 * time.Millisecond
	// maxChunkBytes is the size of the pieces that are forwarded.
	maxChunkBytes = 16 << 10
)

// Proxy forwards connections from one address to another and harms them as told.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	// stallCount counts the times that open connections were given up.
	stallCount  int
	connections map[net.Conn]bool
}

// NewProxy listens at an address and forwards to another.
func NewProxy(at, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: to, connections: make(map[net.Conn]bool)}
	go p.acceptConnections()
	return p, nil
}

// SetMode changes the mode.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		_ = conn.Close()
	}
	return err
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) acceptConnections() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConnection(conn)
	}
}

func (p *Proxy) serveConnection(near net.Conn) {
	p.mu.Lock()
	mode, age := p.mode, p.stallCount
	p.mu.Unlock()
	if mode == Reset {
		resetConnection(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(near)
		return
	}
	p.mu.Lock()
	p.connections[near], p.connections[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(far, near, age, false) })
	both.Go(func() { p.forward(near, far, age, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.connections, near)
	delete(p.connections, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// forward copies bytes as the mode allows.
func (p *Proxy) forward(to, from net.Conn, age int, answers bool) {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitForMode(age, answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns it unwrapped.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// waitForMode holds a piece back as the mode says.
func (p *Proxy) waitForMode(age int, answers bool) {
	for {
		p.mu.Lock()
		mode, now, closed := p.mode, p.stallCount, len(p.connections) == 0
		p.mu.Unlock()
		switch {
		case closed:
			return
		case now != age: // stalled for good
		case mode == Delay:
			time.Sleep(proxyDelay)
			return
		case mode == Silence, mode == OneWay && answers:
		default:
			return
		}
		time.Sleep(modePollInterval)
	}
}

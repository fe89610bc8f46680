package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to the connections through it.
type fault int

const (
	pass fault = iota
	// delay holds every piece up.
	delay
	// silence keeps connections open and carries nothing.
	silence
	// oneWay carries what the caller sends, and no answers.
	oneWay
	// reset ends connections at once.
	reset
	faults
)

func (f fault) String() string { return [...]string{"pass", "delay", "silence", "one way", "reset"}[f] }

// delayed is how long a piece is held up.
const delayed = 150 * time.Millisecond

// proxy carries connections to a target on this machine.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(reset)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) now() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// set changes the fault. What a silent connection had been sent is lost with
// it.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ending := f == reset || (f == pass && (p.fault == silence || p.fault == oneWay))
	p.fault = f
	if ending {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(from net.Conn) {
	if p.now() == reset {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(to, from, true) })
	wg.Go(func() { p.pipe(from, to, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// pipe carries one direction; request says that it is the caller's.
func (p *proxy) pipe(to, from net.Conn, request bool) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.hold(to, buffer[:n], request) {
			return
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}

// hold delivers a piece as the fault has it, and reports whether to go on. A
// piece that falls silent is lost.
func (p *proxy) hold(to net.Conn, piece []byte, request bool) bool {
	switch f := p.now(); {
	case f == reset:
		return false
	case f == silence, f == oneWay && !request:
		return true
	case f == delay:
		time.Sleep(delayed)
	}
	_, err := to.Write(piece)
	return err == nil
}

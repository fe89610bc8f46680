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
	faultCount
)

func (f fault) String() string { return [...]string{"pass", "delay", "silence", "one way", "reset"}[f] }

// addedLatency is how long a piece is held up.
const addedLatency = 150 * time.Millisecond

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

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// set changes the fault. What a silent connection had been sent is lost with
// it.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll := f == reset || (f == pass && (p.fault == silence || p.fault == oneWay))
	p.fault = f
	if closeAll {
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
		go p.handle(c)
	}
}

func (p *proxy) handle(caller net.Conn) {
	if p.currentFault() == reset {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[upstream] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(upstream, caller, true) })
	wg.Go(func() { p.pipe(caller, upstream, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// pipe carries one direction; request says that it is the caller's.
func (p *proxy) pipe(dst, src net.Conn, fromCaller bool) {
	defer dst.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.forward(dst, buffer[:n], fromCaller) {
			return
		}
		if err != nil {
			if err != io.EOF {
				_ = src.Close()
			}
			return
		}
	}
}

// forward delivers a piece as the fault has it, and reports whether to go on. A
// piece that falls silent is lost.
func (p *proxy) forward(dst net.Conn, data []byte, fromCaller bool) bool {
	switch f := p.currentFault(); {
	case f == reset:
		return false
	case f == silence, f == oneWay && !fromCaller:
		return true
	case f == delay:
		time.Sleep(addedLatency)
	}
	_, err := dst.Write(data)
	return err == nil
}

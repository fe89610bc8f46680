package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// fault is a network fault that a proxy applies to its connections.
type fault int

const (
	pass fault = iota
	// delay adds addedLatency to every chunk of data.
	delay
	// silence keeps connections open and discards all data.
	silence
	// oneWay forwards the caller's data and discards the responses.
	oneWay
	// reset closes open connections and resets new ones.
	reset
	faultCount
)

func (f fault) String() string { return [...]string{"pass", "delay", "silence", "one way", "reset"}[f] }

// addedLatency is how long the fault delay holds up each chunk of data.
const addedLatency = 150 * time.Millisecond

// proxy forwards TCP connections to a target on this machine and injects
// network faults.
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

// set changes the fault. The end of silence or oneWay closes the open
// connections, because data was discarded and their streams are incomplete.
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

// accept handles connections until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

// handle forwards one connection in both directions until both have ended.
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

// pipe forwards one direction of a connection. fromCaller is set for the
// direction from the caller to the target.
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

// forward writes data to dst, or delays or discards it under the current fault.
// It reports whether the connection goes on.
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

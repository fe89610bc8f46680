package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is after how long TCP sends unacknowledged bytes again. The
// time doubles with each attempt.
const firstRetransmission = 200 * time.Millisecond

// proxy forwards connections to a target. While it is cut it behaves as a network
// partition does: bytes on open connections are held until their first
// retransmission after its end and are lost if their sender resets the connection,
// and no new connection comes about.
type proxy struct {
	address, target string
	mu              sync.Mutex
	healed          chan struct{} // closed while the proxy is not cut
	isCut           bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// cut begins a partition, and heal ends it.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut, p.healed = true, make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		p.isCut = false
		close(p.healed)
	}
}

func (p *proxy) state() (cut bool, healed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut, p.healed
}

func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	if cut, healed := p.state(); cut {
		// The connection could not be set up: whatever is sent on it is lost.
		go func() { _, _ = io.Copy(io.Discard, c) }()
		<-healed
		_ = c.SetLinger(0)
		return
	}
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	target := t.(*net.TCPConn)
	defer target.Close()
	done := make(chan struct{}, 2)
	go func() { p.forward(target, c); done <- struct{}{} }()
	go func() { p.forward(c, target); done <- struct{}{} }()
	<-done
	<-done
}

// forward copies what one side sends to the other, and its end.
func (p *proxy) forward(to, from *net.TCPConn) {
	type chunk struct {
		data []byte
		err  error
	}
	chunks := make(chan chunk, 1024)
	go func() {
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			chunks <- chunk{buf[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		held := []chunk{c}
		sent, wasCut := time.Now(), false
		for cut, healed := p.state(); cut; cut, healed = p.state() {
			wasCut = true
			select {
			case more := <-chunks:
				held = append(held, more)
			case <-healed:
			}
		}
		if wasCut {
			held = append(held, awaitRetransmission(sent, func(wait time.Duration) (more []chunk) {
				for timer := time.After(wait); ; {
					select {
					case c := <-chunks:
						more = append(more, c)
					case <-timer:
						return more
					}
				}
			})...)
		}
		if last := held[len(held)-1]; last.err != nil && last.err != io.EOF {
			_ = to.SetLinger(0) // the sender has reset the connection
			_ = to.Close()
			return
		}
		for _, h := range held {
			if len(h.data) > 0 {
				if _, err := to.Write(h.data); err != nil {
					_ = from.SetLinger(0)
					_ = from.Close()
					return
				}
			}
			if h.err != nil {
				_ = to.CloseWrite()
				return
			}
		}
	}
}

// awaitRetransmission waits until bytes that were sent at a time and not
// acknowledged are sent again.
func awaitRetransmission[T any](sent time.Time, wait func(time.Duration) T) T {
	at := sent
	for interval := firstRetransmission; time.Now().After(at); interval *= 2 {
		at = at.Add(interval)
	}
	return wait(time.Until(at))
}

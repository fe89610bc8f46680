package main

import (
	"net"
	"sync"
)

// link is the network path to a machine. While it is cut, nothing passes and no
// connection opens or closes.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	healed   chan struct{} // closed while the link is not cut
	backend  string
	lives    int
}

func newLink() (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, healed: make(chan struct{})}
	close(k.healed)
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// wait waits until the link is not cut, and returns the machine's own address and the
// number of its present life.
func (k *link) wait() (backend string, life int) {
	for {
		k.mu.Lock()
		healed, backend, life := k.healed, k.backend, k.lives
		k.mu.Unlock()
		select {
		case <-healed:
			return backend, life
		default:
			<-healed
		}
	}
}

// lead leads to the machine's next life. What was on its way to or from the former one
// is lost.
func (k *link) lead(backend string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backend = backend
	k.lives++
}

func (k *link) carry(c net.Conn) {
	defer c.Close()
	backend, life := k.wait()
	b, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	defer b.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if _, now := k.wait(); now != life {
				break
			}
			if n > 0 {
				if _, failed := to.Write(buffer[:n]); failed != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(b, c)
	go pass(c, b)
	<-done
}

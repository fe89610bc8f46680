package soak

import (
	"syscall"
	"testing"
)

// running returns the processes of the node that have not ended.
func (n *node) running() (ids []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.processes {
		if p.Signal(syscall.Signal(0)) == nil {
			ids = append(ids, p.Pid)
		}
	}
	return ids
}

func TestNoProcessOfANodeOutlivesIt(t *testing.T) {
	n := &node{name: "front-0", storeProxy: newProxy(t, "127.0.0.1:1"), fleetProxy: newProxy(t, "127.0.0.1:1")}
	n.configure(t, t.TempDir())
	n.start(t)
	n.start(t) // two overlapping faults have ended it, and both start it again
	n.kill()
	if ids := n.running(); len(ids) > 0 {
		t.Errorf("processes %v still run", ids)
		for _, p := range n.processes {
			_ = p.Kill()
		}
	}
}

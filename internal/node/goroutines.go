package node

import "time"

// goroutineIdleTimeout is how long an unused goroutine of a pool is kept.
const goroutineIdleTimeout = 2 * time.Second

// goroutinePool runs functions concurrently, on goroutines that are used again:
// an owner makes thousands of calls a second, and the stack of a new goroutine
// grows several times in each. The zero value is not usable.
type goroutinePool struct {
	tasks chan func()
}

func newGoroutinePool() *goroutinePool { return &goroutinePool{tasks: make(chan func())} }

// run runs the function on an idle goroutine, or on a new one if none is idle. It
// does not wait.
func (p *goroutinePool) run(task func()) {
	select {
	case p.tasks <- task:
	default:
		go p.work(task)
	}
}

// work runs the first function and those that come while it is idle.
func (p *goroutinePool) work(task func()) {
	idle := time.NewTimer(goroutineIdleTimeout)
	defer idle.Stop()
	for {
		task()
		task = nil
		idle.Reset(goroutineIdleTimeout)
		select {
		case task = <-p.tasks:
		case <-idle.C:
			return
		}
	}
}

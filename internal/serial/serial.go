// Package serial runs functions one at a time in one goroutine. State that only
// these functions use needs no lock.
package serial

import "context"

// queueLength is the number of functions that may be queued before Do blocks.
const queueLength = 64

// Executor runs functions in the goroutine of Run.
type Executor struct {
	queue chan func()
	done  chan struct{}
}

// New returns an executor; it runs nothing before Run is called.
func New() *Executor {
	return &Executor{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run runs queued functions until ctx ends. It must be called only once.
func (e *Executor) Run(ctx context.Context) {
	defer close(e.done)
	for {
		select {
		case fn := <-e.queue:
			fn()
		case <-ctx.Done():
			return
		}
	}
}

// Do queues fn and waits until it has run. It returns false if ctx or Run ended
// first: fn then has not run, or may still run or be running.
func (e *Executor) Do(ctx context.Context, fn func()) bool {
	finished := make(chan struct{})
	wrapped := func() {
		defer close(finished)
		fn()
	}
	select {
	case e.queue <- wrapped:
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
}

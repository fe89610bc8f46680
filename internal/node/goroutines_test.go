package node

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestGoroutinePoolRunsAllAtOnceAndUsesGoroutinesAgain(t *testing.T) {
	p := newGoroutinePool()
	for range 3 {
		const tasks = 50
		var running sync.WaitGroup
		running.Add(tasks)
		release := make(chan struct{})
		var done atomic.Int64
		for range tasks {
			p.run(func() {
				running.Done()
				<-release
				done.Add(1)
			})
		}
		running.Wait() // none waits for another
		close(release)
		for deadline := time.Now().Add(5 * time.Second); done.Load() < tasks && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if done.Load() != tasks {
			t.Errorf("%d of %d ran", done.Load(), tasks)
		}
	}
}

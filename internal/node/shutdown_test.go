package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
)

func TestReleaseLeavesRequestsTheirPartOfTheShutdown(t *testing.T) {
	n, rows, f := nodeWithTwoTasks(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	waitFor(t, "decision", func() bool { o := n.owner.Load(); return o != nil && o.deciding.Load() })
	const linger = 2 * time.Second
	rows.SetFaults(standin.Faults{Latency: time.Second})
	shutdownCtx, cancelShutdown := context.WithTimeout(ctx, 10*time.Second)
	defer cancelShutdown()
	began := time.Now()
	if err := n.Shutdown(shutdownCtx, &http.Server{}, linger); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < linger || took > linger+700*time.Millisecond {
		t.Errorf("the server stops %v after the signal, want %v: the release took its time from the requests", took, linger)
	}
}

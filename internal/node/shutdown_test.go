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
	if err := n.Shutdown(shutdownCtx, linger, &http.Server{}); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < linger || took > linger+700*time.Millisecond {
		t.Errorf("the server stops %v after the signal, want %v: the release took its time from the requests", took, linger)
	}
}

func TestOwnershipAcquiredDuringAShutdownIsReleased(t *testing.T) {
	n, rows, f := nodeWithTwoTasks(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	rows.SetFaults(standin.Faults{Latency: 300 * time.Millisecond})
	acquired := make(chan struct{})
	go func() {
		defer close(acquired)
		n.acquire(ctx)
	}()
	time.Sleep(100 * time.Millisecond) // the write is in flight
	shutdownCtx, cancelShutdown := context.WithTimeout(ctx, 10*time.Second)
	defer cancelShutdown()
	if err := n.Shutdown(shutdownCtx, 2*time.Second, &http.Server{}); err != nil {
		t.Error(err)
	}
	<-acquired
	control, _, err := rows.ReadRows(ctx, controlTable, controlPart, "", "")
	if err == nil {
		err = n.observeControl(control, n.Clock.Now())
	}
	if owner := n.view.Load().Record.Owner; err != nil || owner != "" {
		t.Errorf("%v, the process has ended and left the control work with %q", err, owner)
	}
}

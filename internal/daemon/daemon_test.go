package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/config"
)

// TestSecondSignalEndsAtOnce guards against a process that ignores the second
// signal while its drain is stuck: the work and the drain here end only when
// their context does.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	d, err := New(&config.Process{
		Name: "daemon", LogLevel: "error", AdminListen: "127.0.0.1:0", RPCListen: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	signal := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	untilDone := func(ctx context.Context) error {
		signal()
		<-ctx.Done()
		return ctx.Err()
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(untilDone, untilDone) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(drainTimeout / 2):
		t.Fatal("the process still runs after the second signal")
	}
}

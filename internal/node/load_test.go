package node

import (
	"context"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// manyJobs is a table service whose table of jobs takes long to read.
type manyJobs struct {
	platform.Rows
	takes time.Duration
}

func (s *manyJobs) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if table == jobTable {
		if err := ctxtime.Sleep(ctx, s.takes); err != nil {
			return nil, platform.Stamp{}, err
		}
	}
	return s.Rows.ReadRows(ctx, table, part, from, to)
}

func TestOwnerStartsTasksThoughItsJobsTakeLongToRead(t *testing.T) {
	n, _, f := nodeWithTwoTasks(t)
	n.Rows = &manyJobs{Rows: n.Rows, takes: 4 * time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	deadline := time.Now().Add(10 * time.Second)
	for starts := 0; starts == 0; starts, _ = f.counts("w") {
		if time.Now().After(deadline) {
			t.Fatal("no task was started within 10 s: the owner keeps the control work and reads its jobs again and again")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

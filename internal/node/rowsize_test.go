package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// boundedRows is a table service that refuses a transaction with a row above the
// platform's limit. As long as hold is closed, no transaction is carried out.
type boundedRows struct {
	platform.Rows
	hold chan struct{}
}

const testMaxRowBytes = 65536

func (r *boundedRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	select {
	case <-r.hold:
	case <-ctx.Done():
		return platform.Stamp{}, platform.ErrUnavailable
	}
	for _, w := range txn.Writes {
		if len(w.Value) > testMaxRowBytes {
			return platform.Stamp{}, errors.Errorf("status 400: value of %s has %d bytes", w.Key, len(w.Value))
		}
	}
	return r.Rows.CommitRows(ctx, txn)
}

// TestJobTooLargeForARowCostsNoOtherJob submits a job that no row can hold, and
// others that are stored in the same transactions.
func TestJobTooLargeForARowCostsNoOtherJob(t *testing.T) {
	n, rows, e := testNode(t)
	bounded := &boundedRows{Rows: rows, hold: make(chan struct{})}
	n.Rows = bounded
	n.adopt(platform.OperatorChanges{Catalog: testCatalogWithBody(2, "/q/", 1<<20)})
	large := `[{"Count":1,"Requires":"` + strings.Repeat("x", testMaxRowBytes) + `"}]`
	var ids []string // of the part of the large job
	for i := 0; len(ids) < 8; i++ {
		if id := fmt.Sprintf("%016x", i); partOf(id) == partOf(testID) && id != testID {
			ids = append(ids, id)
		}
	}
	codes := make([]int, len(ids)+1)
	var group sync.WaitGroup
	submit := func(i int, id, body string) {
		group.Go(func() { codes[i], _ = request(e, http.MethodPost, "/q/"+id, body) })
	}
	begin := time.Now()
	submit(len(ids), testID, large)
	for i, id := range ids {
		submit(i, id, testBody)
	}
	time.Sleep(50 * time.Millisecond) // all of them wait for a transaction
	close(bounded.hold)
	group.Wait()
	for i, id := range ids {
		if codes[i] != http.StatusOK {
			t.Errorf("job %s: answer %d, want 200", id, codes[i])
		}
	}
	if got := codes[len(ids)]; got != http.StatusRequestEntityTooLarge || time.Since(begin) > time.Second {
		t.Errorf("the large job: answer %d, all after %v; want 413 within 1 s", got, time.Since(begin))
	}
}

package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// storedJobs returns the number of stored jobs.
func storedJobs(t *testing.T, n *Node) int {
	t.Helper()
	rows, _, err := n.readJobParts(t.Context(), jobTable)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// The submission lies in a paused process, or its caller repeats it, while the cancellation is answered elsewhere.
func TestJobIsNotStoredAfterItsCancellationWasAnswered(t *testing.T) {
	n, _, e := testNode(t)
	if code, body := request(e, http.MethodDelete, "/q/"+testID, ""); code != http.StatusGone {
		t.Fatalf("answer %d %s to the cancellation, want 410", code, body)
	}
	for range 2 {
		if code, body := request(e, http.MethodPost, "/q/"+testID, testBody); code != http.StatusGone {
			t.Errorf("answer %d %s to the submission, want 410", code, body)
		}
	}
	if got := storedJobs(t, n); got != 0 {
		t.Errorf("%d jobs are stored, want none", got)
	}
	if code, body := request(e, http.MethodGet, "/q/"+testID, ""); code != http.StatusGone {
		t.Errorf("answer %d %s to the request for its state, want 410", code, body)
	}
}

// heldCommits is a table service that receives transactions and applies them only
// later, without an answer.
type heldCommits struct {
	platform.Rows
	txns chan platform.RowTxn
}

func (h *heldCommits) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	h.txns <- txn
	<-ctx.Done()
	return platform.Stamp{}, platform.ErrUnknown
}

// The store applies a transaction without an answer seconds later if its conditions still hold.
func TestTransactionAppliedLateDoesNotStoreACancelledJob(t *testing.T) {
	n, rows, e := testNode(t)
	held := &heldCommits{Rows: rows, txns: make(chan platform.RowTxn, 100)}
	n.Rows = held
	if code, body := request(e, http.MethodPost, "/q/"+testID, testBody); code != http.StatusGatewayTimeout {
		t.Fatalf("answer %d %s to the submission, want 504", code, body)
	}
	other := New(Options{Name: "entry-2", Rows: rows, Log: n.Log})
	if err := other.writeCancel(t.Context(), testID); err != nil {
		t.Fatal(err)
	}
	for len(held.txns) > 0 {
		if _, err := rows.CommitRows(t.Context(), <-held.txns); err == nil {
			t.Error("a transaction that stores the job is applied after its cancellation")
		}
	}
	if got := storedJobs(t, other); got != 0 {
		t.Errorf("%d jobs are stored, want none", got)
	}
}

func TestCancelledJobDoesNotHoldUpTheOthersOfItsBatch(t *testing.T) {
	n, _, _ := testNode(t)
	if err := n.writeCancel(t.Context(), testID); err != nil {
		t.Fatal(err)
	}
	var batch []*submission
	for _, id := range []string{testID, "00000000000000ab", "00000000000000ac"} {
		s, err := newSubmission(&workload.Job{ID: id, Queue: "q", Pool: "p"}, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, s)
	}
	all := batch
	for len(batch) > 0 {
		batch = n.acceptor.store(t.Context(), batch)
	}
	for i, want := range []submitOutcome{submitCancelled, submitStored, submitStored} {
		if got := <-all[i].outcome; got != want {
			t.Errorf("job %s: outcome %d, want %d", all[i].job.ID, got, want)
		}
	}
}

// The store is away when the caller comes, and back after it has left.
func TestJobOfACallerThatHasLeftIsNotStoredLater(t *testing.T) {
	n, rows, _ := testNode(t)
	rows.SetFaults(standin.Faults{Down: true})
	ctx, leave := context.WithCancel(t.Context())
	outcome := make(chan submitOutcome)
	go func() {
		outcome <- n.acceptor.submit(ctx, &workload.Job{ID: testID, Queue: "q", Pool: "p"}, time.Now().Add(3*time.Second))
	}()
	time.Sleep(refuseAfter / 2)
	leave()
	if got := <-outcome; got != submitNotStored { // the store refused each attempt
		t.Errorf("outcome %d, want not stored", got)
	}
	rows.SetFaults(standin.Faults{})
	time.Sleep(refuseAfter)
	if got := storedJobs(t, n); got != 0 {
		t.Errorf("%d jobs are stored, want none", got)
	}
}

package txn_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
	"github.com/egretpitch/egretpitch/internal/txn"
)

// network is a table behind a network that loses commits and their answers and
// delivers some commits late.
type network struct {
	*standin.Table
	t       *rapid.T
	late    []platform.Txn
	applied map[string]int
}

func (n *network) Commit(ctx context.Context, t platform.Txn) (int64, error) {
	if len(n.late) > 0 && rapid.Bool().Draw(n.t, "late one lands") {
		n.apply(n.late[0])
		n.late = n.late[1:]
	}
	switch rapid.IntRange(0, 7).Draw(n.t, "fault") {
	case 0:
		return 0, operr.Wrap(platform.ErrUnavailable, "table: commit", "network")
	case 1:
		n.late = append(n.late, t)
	case 2:
		n.apply(t)
	case 3:
	default:
		return n.apply(t)
	}
	return 0, operr.Wrap(platform.ErrUnknown, "table: commit", "network")
}

func (n *network) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if rapid.IntRange(0, 4).Draw(n.t, "read fault") == 4 {
		return nil, operr.Wrap(platform.ErrUnavailable, "table: read", "network")
	}
	return n.Table.Read(ctx, keys...)
}

// apply commits t to the table and counts how often each value took effect.
func (n *network) apply(t platform.Txn) (int64, error) {
	version, err := n.Table.Commit(context.Background(), t)
	if err == nil {
		n.applied[string(t.Writes[0].Value)]++
	}
	return version, err
}

// TestCommitTakesEffectAsReported guards against a commit that is reported as
// applied or as not applied when the opposite is true. It commits on versions
// that may be out of date through a faulty network, delivers all late commits,
// and compares each reported result with the number of times that the
// transaction took effect.
func TestCommitTakesEffectAsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			n := &network{Table: standin.NewTable(), t: rt, applied: map[string]int{}}
			reported := map[string]error{}
			var seen int64
			for i := range rapid.IntRange(1, 12).Draw(rt, "commits") {
				if rapid.Bool().Draw(rt, "look") {
					if rows, _ := n.Table.Read(context.Background(), "k"); len(rows) == 1 {
						seen = rows[0].Version
					}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				value := fmt.Sprint("value", i)
				_, reported[value] = txn.Commit(ctx, n, platform.Txn{
					Conditions: []platform.Condition{{Key: "k", Version: seen}},
					Writes:     []platform.Write{{Key: "k", Value: []byte(value)}},
				})
				cancel()
			}
			for _, late := range n.late {
				n.apply(late)
			}
			for value, err := range reported {
				if times := n.applied[value]; !consistent(err, times) {
					rt.Fatalf("%s took effect %d times, reported: %v", value, times, err)
				}
			}
		})
	})
}

// consistent reports whether err is a correct result of a commit that took
// effect the given number of times.
func consistent(err error, times int) bool {
	switch {
	case err == nil:
		return times == 1
	case errors.Is(err, platform.ErrUnknown):
		return times <= 1
	}
	return times == 0
}

package node

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// fenceParts writes the owner's fencing token to the records part and to every part
// of the jobs. From then on the transactions of previous owners conflict there. It
// sets o.recordsFence and o.fences, the conditions under which this owner's
// transactions are applied.
func (o *owner) fenceParts(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	fence := func(part string, to *platform.RowCondition) {
		group.Go(func() error {
			version, err := o.fencePart(ctx, part)
			*to = platform.RowCondition{RowKey: fenceRow(part), Version: version}
			return err
		})
	}
	fence(recordsPart, &o.recordsFence)
	for i := range jobParts {
		fence(partName(i), &o.fences[i])
	}
	return group.Wait()
}

// fenceTimeout bounds one attempt to write a fence, whose answer may be lost.
const fenceTimeout = 900 * time.Millisecond

// fencePart writes the fence of one part and returns the version of its row. A
// write without an answer may have been applied; the next attempt reads the row
// and finds out.
func (o *owner) fencePart(ctx context.Context, part string) (int64, error) {
	key := fenceRow(part)
	token := strconv.FormatInt(o.token, 10)
	for {
		rows, _, err := o.node.Rows.ReadRows(ctx, key.Table, key.Part, key.Key, key.Key+"\x00")
		if err != nil {
			return 0, err
		}
		condition := platform.RowCondition{RowKey: key, Version: platform.NoVersion}
		if len(rows) > 0 {
			condition.Version = rows[0].Version
			held, err := strconv.ParseInt(string(rows[0].Value), 10, 64)
			switch {
			case err != nil:
				return 0, errors.Wrapf(err, "fence of part %s", part)
			case held == o.token:
				return rows[0].Version, nil
			case held > o.token:
				return 0, errors.Errorf("fence of part %s holds the token of a later owner", part)
			}
		}
		callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
		stamp, err := o.node.Rows.CommitRows(callCtx, platform.RowTxn{
			Conditions: []platform.RowCondition{condition},
			Writes:     []platform.RowWrite{{RowKey: key, Value: []byte(token)}},
		})
		cancel()
		if err == nil {
			return stamp.Version, nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			return 0, err
		}
	}
}

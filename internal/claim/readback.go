package claim

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// maxRounds is how often a batch is read back and committed again at most.
	maxRounds = 6
	// statusUnreadable is the status of a refusal because the claim row cannot
	// be decoded.
	statusUnreadable = http.StatusInternalServerError
)

// readBack reads the rows of the batch, settles the updates that the rows
// decide, and returns the others. After a conflict, the others are those that
// did not conflict themselves. After a lost answer, the rows show whether the
// transaction took effect, since each carries the id of the attempt that wrote
// it. Committing the rest again is safe even if the lost transaction arrives
// later: both have the same conditions, so only one of them takes effect.
func (m *Manager) readBack(ctx context.Context, batch []*rowUpdate) ([]*rowUpdate, error) {
	rows, err := m.read(ctx, batch)
	if err != nil {
		return batch, err
	}
	var rest []*rowUpdate
	for _, u := range batch {
		row := rows[u.attempt.key]
		settled, err := u.reconcile(row)
		switch {
		case !settled:
			rest = append(rest, u)
		case u.isClaim && errors.Is(err, errKeyTaken):
			m.settleTaken(u, *row)
		default:
			m.settle(u, err)
		}
	}
	return rest, nil
}

// settleTaken settles the claim of a request whose key belongs to another
// attempt.
func (m *Manager) settleTaken(u *rowUpdate, row platform.Row) {
	// reconcile has decoded the row without an error.
	r, _ := decode(row)
	u.attempt.settle(resolveTaken(r, u.attempt.record.Digest))
}

// read returns the rows of the batch by key.
func (m *Manager) read(ctx context.Context, batch []*rowUpdate) (map[string]*platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TableTimeout)
	defer cancel()
	keys := make([]string, len(batch))
	for i, u := range batch {
		keys[i] = u.attempt.key
	}
	rows, err := m.opts.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string]*platform.Row, len(rows))
	for i := range rows {
		byKey[rows[i].Key] = &rows[i]
	}
	return byKey, nil
}

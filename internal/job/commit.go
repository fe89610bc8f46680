package job

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// addCommits adds calls that commit the writes of this step, in batches.
func (p *Pool) addCommits() {
	for len(p.writes) > 0 {
		n := min(BatchSize, len(p.writes))
		c := &Call{Kind: CallCommit, writes: p.writes[:n]}
		p.writes = p.writes[n:]
		hosts := map[string]bool{}
		for i := range c.writes {
			c.addWrite(&c.writes[i], hosts)
		}
		p.calls = append(p.calls, c)
	}
}

// addWrite adds one row to the transaction. A host that several placements
// share is added as a condition only once.
func (c *Call) addWrite(w *write, hosts map[string]bool) {
	if w.deleteRow {
		key := Key(w.next.Pool, w.next.ID)
		c.Txn.Conditions = append(c.Txn.Conditions, platform.Condition{Key: key, Version: w.state.Version})
		c.Txn.Writes = append(c.Txn.Writes, platform.Write{Key: key, Delete: true})
		return
	}
	// Encoding cannot fail: a row holds only plain fields.
	_ = replace(&c.Txn, w.state.Version, &w.next)
	if w.host.Key != "" && !hosts[w.host.Key] {
		hosts[w.host.Key] = true
		c.Txn.Conditions = append(c.Txn.Conditions, w.host)
	}
}

// replaceRow adds a write that replaces a job's row, subject to an additional
// condition unless that is the zero value.
func (p *Pool) replaceRow(s *state, next Row, condition platform.Condition) {
	next.Writer = p.writer
	s.inFlight = true
	p.writes = append(p.writes, write{state: s, next: next, host: condition})
}

// commitDone handles the result of a commit. After an unknown outcome, its
// rows stay in flight until a scan shows their state.
func (p *Pool) commitDone(r Result, now time.Time) {
	if r.Err != nil {
		p.log.Debug("writing job rows failed", zap.String("pool", p.name), zap.Error(r.Err))
		p.stale = true
	}
	for _, w := range r.Call.writes {
		s := p.jobs[w.next.ID]
		if s == nil {
			continue
		}
		if errors.Is(r.Err, platform.ErrUnknown) {
			s.commitUnknownAt = now
			continue
		}
		s.inFlight = false
		s.placingOn = ""
		switch {
		case r.Err != nil:
		case w.deleteRow:
			delete(p.jobs, s.ID)
		case r.Version >= s.Version:
			p.rowWritten(s, w, r, now)
		}
	}
}

// rowWritten updates the state of a job whose row this ownership wrote.
func (p *Pool) rowWritten(s *state, w write, r Result, now time.Time) {
	next := w.next
	if w.confirmOwnership {
		s.Stored = Stored{Row: next, Version: r.Version}
		s.committedAt = r.Began
		return
	}
	*s = state{Stored: Stored{Row: next, Version: r.Version}, observedAt: now, lastSeen: now, committedAt: r.Began}
	if next.Placed() {
		s.startState = startUnsent
		return
	}
	s.waitReason = placement.Reason(next.Reason)
	e := event.JobChanged
	if next.State == adminapi.JobFailed {
		e = event.JobFailed
	}
	e.Log(p.log, zap.String("job", s.ID), zap.String("pool", p.name), zap.String("team", s.Team),
		zap.String("state", s.State), zap.String("reason", s.Reason), zap.String("host", s.Host))
}

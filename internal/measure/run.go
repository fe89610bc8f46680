package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/rollout"
)

// Run measures one scenario over a window.
func Run(ctx context.Context, s Scenario, binaries string, window time.Duration) (Sample, error) {
	b, err := newBench(ctx, s, binaries)
	if err != nil {
		return Sample{}, err
	}
	defer b.close()
	p, err := b.start()
	if p != nil {
		defer p.stop()
	}
	if err != nil {
		return Sample{}, err
	}
	if err := ctxtime.Sleep(b.ctx, warmUpTime); err != nil {
		return Sample{}, err
	}
	sample, err := b.measure(p, max(window, longestReadPeriod(s.Members)))
	if err == nil && s.Role == Idle {
		err = b.checkIdle()
	}
	return sample, err
}

// longestReadPeriod returns the longest period of a control process among so many
// members, which is that of its readings while it owns no shard.
func longestReadPeriod(members int) time.Duration { return time.Duration(members) * time.Second / 5 }

// start brings up the peers and the measured process, in the order in which
// shards end up where the role wants them.
func (b *bench) start() (*process, error) {
	if err := b.register(); err != nil {
		return nil, err
	}
	b.startMembers()
	if b.scenario.Role == Entry {
		if err := b.startOtherControls(); err != nil {
			return nil, err
		}
	}
	p, err := b.startMeasured()
	if err != nil {
		return nil, err
	}
	if b.scenario.Role == Owner {
		b.startEntries([]string{p.rpc})
		if err := b.startOtherControls(); err != nil {
			return p, err
		}
	}
	return p, b.waitFor("measured process is ready", func() bool { return b.estateReady() && isReady(b.ctx, p.admin) })
}

// startOtherControls starts the other control processes. Whoever is there before them
// keeps its shards, if there are few.
func (b *bench) startOtherControls() error {
	if b.scenario.Role == Owner {
		if err := b.waitFor("measured process owns the shards", b.estateReady); err != nil {
			return err
		}
	}
	if err := b.startOwners(); err != nil {
		return err
	}
	return b.waitFor("shards are owned", b.estateReady)
}

// estateReady reports whether every shard has an owner and every host its row.
func (b *bench) estateReady() bool { return b.allShardsOwned() && b.allHostRowsWritten() }

// isReady asks a process whether it is ready.
func isReady(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// measure reads what the process spent within the window.
func (b *bench) measure(p *process, window time.Duration) (Sample, error) {
	b.callCounter.reset()
	platformBefore := b.platformListener.ioBytes.Load()
	began := time.Now()
	before, err := p.usage()
	if err != nil {
		return Sample{}, err
	}
	if err := b.changeSettings(window); err != nil {
		return Sample{}, err
	}
	after, err := p.usage()
	if err != nil {
		return Sample{}, err
	}
	seconds := time.Since(began).Seconds()
	ioBytes := float64(after.ioBytes - before.ioBytes)
	toPlatform := float64(b.platformListener.ioBytes.Load() - platformBefore)
	return Sample{
		Scenario: b.scenario, Window: seconds,
		CorePercent: 100 * (after.cpu - before.cpu).Seconds() / seconds,
		MemoryMB:    float64(after.resident) / (1 << 20),
		KBps:        ioBytes / 1000 / seconds,
		PeerKBps:    max(ioBytes-toPlatform, 0) / 1000 / seconds,
		Load:        b.callCounter.rates(seconds),
	}, nil
}

// changeSettings waits out the window and accepts the scenario's changes of
// settings at even distances within it.
func (b *bench) changeSettings(window time.Duration) error {
	store := rollout.NewStore(b.uncounted.Table, b.uncounted.Objects, zap.NewNop())
	steps := b.scenario.Changes + 1
	for i := range steps {
		if err := ctxtime.Sleep(b.ctx, window/time.Duration(steps)); err != nil {
			return err
		}
		if i == b.scenario.Changes {
			return nil
		}
		tree, err := b.changedTree(i)
		if err != nil {
			return err
		}
		if _, err := store.Accept(b.ctx, tree, uint64(i+1), fmt.Sprintf("change-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

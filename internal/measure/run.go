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

// Run starts a scenario and measures it over a window, which is extended if the
// measured process does some work less often. binaries is the directory of the
// programs.
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

// longestReadPeriod returns the longest time between two periodic steps of a
// control process: that between two reads of the platform by one of so many
// members that owns no shard. It follows the limit of 5 such reads per second
// for all members together in package control.
func longestReadPeriod(members int) time.Duration { return time.Duration(members) * time.Second / 5 }

// start starts the peers and the measured process. The order gives the shards
// to the owners that the role needs, because a process keeps the shards that it
// has acquired before others start.
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

// startOtherControls starts the scenario's Owners and waits until all shards are
// owned. For the role Owner the measured process acquires all shards first; it
// keeps them if they are few.
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

// estateReady reports whether every shard has an owner and every host has a row.
func (b *bench) estateReady() bool { return b.allShardsOwned() && b.allHostRowsWritten() }

// isReady reports whether the readiness endpoint of a process answers with 200.
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

// measure waits out the window and returns the resource usage of the process
// within it.
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

// changeSettings waits out the window and applies the scenario's settings
// changes at equal intervals within it.
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

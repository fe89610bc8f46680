package measure

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/platform/httpapi"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	// loopback is the address on which everything listens.
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the wait for a scenario to stand.
	readyTimeout = 60 * time.Second
	// readyPoll is the time between two looks at it.
	readyPoll = 50 * time.Millisecond
	// measuredName is the name of the measured process.
	measuredName = "measured"
)

// bench is the surroundings of one measured process.
type bench struct {
	scenario Scenario
	binaries string
	stand    *standin.Platform
	inner    *platform.Platform
	tap      *tap
	http     *countingListener
	tree     []byte

	ctx    context.Context
	cancel context.CancelFunc
	// running are the goroutines of peers inside this process.
	running sync.WaitGroup
	owners  []*owner
}

// newBench sets up the platform with the hosts and the settings of a scenario.
func newBench(ctx context.Context, s Scenario, binaries string) (*bench, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bench{scenario: s, binaries: binaries, stand: standin.NewPlatform(), ctx: ctx, cancel: cancel}
	b.inner = b.stand.Interfaces()
	if err := b.fillPlatform(); err != nil {
		cancel()
		return nil, err
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "listen for the platform")
	}
	b.http = &countingListener{Listener: listener}
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.Listener = b.http
	tapped, counted := newTap(b.inner)
	b.tap = tapped
	httpapi.Register(router, counted)
	b.run(func() { _ = router.Start("") })
	context.AfterFunc(ctx, func() { _ = router.Close() })
	_, err = rollout.NewStore(b.inner.Table, b.inner.Objects, zap.NewNop()).Accept(ctx, b.tree, 0, "first")
	return b, err
}

// fillPlatform encodes the tree, fills the host list and writes the rows.
func (b *bench) fillPlatform() error {
	tree := b.scenario.Tree()
	effective, err := tree.Effective()
	if err != nil {
		return err
	}
	if b.tree, err = settings.Encode(tree); err != nil {
		return err
	}
	for _, h := range b.scenario.listedHosts(effective, b.entryNames()) {
		b.stand.Fleet.SetListed(h.Name, &h)
	}
	if b.scenario.Role == Idle {
		return b.seed(effective)
	}
	return nil
}

// entryNames returns the names of all entries of the scenario.
func (b *bench) entryNames() []string {
	names := []string{measuredName}
	for i := range b.scenario.Entries + b.scenario.Registered {
		names = append(names, entryName(i))
	}
	return names
}

// entryName returns the name of entry i.
func entryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// run starts a goroutine that ends with the bench.
func (b *bench) run(work func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		work()
	}()
}

// close ends all peers and waits for them.
func (b *bench) close() {
	b.cancel()
	b.running.Wait()
}

// register writes the rows of entries that have nothing else.
func (b *bench) register() error {
	registry := membership.NewRegistry(b.inner.Table, zap.NewNop())
	for i := range b.scenario.Registered {
		name := entryName(b.scenario.Entries + i)
		row := membership.EntryRow{Name: name, Address: "127.0.0.1:9", Incarnation: 1, Host: name, Boot: name}
		if err := registry.Register(b.ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// await polls until ok holds.
func (b *bench) await(what string, ok func() bool) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if ok() {
			return nil
		}
		if err := ctxtime.Sleep(b.ctx, readyPoll); err != nil {
			return err
		}
	}
	return errors.Errorf("%s: not within %v", what, readyTimeout)
}

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
	// loopback is the address on which the platform, the peers and the measured
	// process listen, each on a free port.
	loopback = "127.0.0.1:0"
	// readyTimeout bounds each wait for a condition during the start-up of a
	// scenario.
	readyTimeout = 60 * time.Second
	// readyPoll is the time between two checks of the condition.
	readyPoll = 50 * time.Millisecond
	// measuredName is the name of the measured process.
	measuredName = "measured"
)

// bench is the environment of one measured process: the stand-in platform and
// the peers.
type bench struct {
	scenario Scenario
	// binaries is the directory of the programs.
	binaries string
	standIn  *standin.Platform
	// uncounted is the platform for the peers, whose calls are not counted.
	// The measured process uses the platform over HTTP, where callCounter
	// counts its calls and platformListener its bytes.
	uncounted        *platform.Platform
	callCounter      *callCounter
	platformListener *countingListener
	// tree is the encoded settings tree.
	tree []byte

	ctx    context.Context
	cancel context.CancelFunc
	// running tracks the goroutines of the platform and the peers in this
	// process.
	running sync.WaitGroup
	owners  []*owner
}

// newBench starts the platform with the hosts and the settings of a scenario.
// binaries is the directory of the programs.
func newBench(ctx context.Context, s Scenario, binaries string) (*bench, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bench{scenario: s, binaries: binaries, standIn: standin.NewPlatform(), ctx: ctx, cancel: cancel}
	b.uncounted = b.standIn.Interfaces()
	if err := b.fillPlatform(); err != nil {
		cancel()
		return nil, err
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "listen on the address of the platform")
	}
	b.platformListener = &countingListener{Listener: listener}
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.Listener = b.platformListener
	counter, counted := newCallCounter(b.uncounted)
	b.callCounter = counter
	httpapi.Register(router, counted)
	b.run(func() { _ = router.Start("") })
	context.AfterFunc(ctx, func() { _ = router.Close() })
	_, err = rollout.NewStore(b.uncounted.Table, b.uncounted.Objects, zap.NewNop()).Accept(ctx, b.tree, 0, "first")
	return b, err
}

// fillPlatform encodes the tree, fills the host list and, for the role Idle,
// writes the rows of a running estate.
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
		b.standIn.Fleet.SetListed(h.Name, &h)
	}
	if b.scenario.Role == Idle {
		return b.seed(effective)
	}
	return nil
}

// entryNames returns the names of all entries of the scenario, including the
// measured process.
func (b *bench) entryNames() []string {
	names := []string{measuredName}
	for i := range b.scenario.Entries + b.scenario.Registered {
		names = append(names, entryName(i))
	}
	return names
}

// entryName returns the name of entry i.
func entryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// run runs work in a goroutine that close waits for.
func (b *bench) run(work func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		work()
	}()
}

// close stops the platform and all peers and waits for them.
func (b *bench) close() {
	b.cancel()
	b.running.Wait()
}

// register writes the rows of the entries that exist only as a row.
func (b *bench) register() error {
	registry := membership.NewRegistry(b.uncounted.Table, zap.NewNop())
	for i := range b.scenario.Registered {
		name := entryName(b.scenario.Entries + i)
		row := membership.EntryRow{Name: name, Address: "127.0.0.1:9", Incarnation: 1, Host: name, Boot: name}
		if err := registry.Register(b.ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// waitFor polls until ok returns true. It fails after readyTimeout; what
// describes the condition in the error.
func (b *bench) waitFor(what string, ok func() bool) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if ok() {
			return nil
		}
		if err := ctxtime.Sleep(b.ctx, readyPoll); err != nil {
			return err
		}
	}
	return errors.Errorf("%s: timed out after %v", what, readyTimeout)
}

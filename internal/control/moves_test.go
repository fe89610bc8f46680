package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/control"
	"github.com/egretpitch/egretpitch/internal/entry"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	treeFile = "../../test/testdata/small.yaml"
	// wantedMoves is the number of completed moves after which the test ends.
	wantedMoves = 12
	// movesTimeout bounds each wait; reaching it fails the test.
	movesTimeout = 90 * time.Second
	// movesSeed seeds the choice of moved hosts.
	movesSeed = 20261204
)

// estate runs real control processes and entries over a stand-in platform, all
// in one process.
type estate struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	managers []*control.Manager
	stops    []context.CancelFunc
	control  []string
	callers  []string
}

// newEstate starts an estate with the settings of treeFile.
func newEstate(t *testing.T) *estate {
	t.Helper()
	data, err := os.ReadFile(treeFile)
	if err != nil {
		t.Fatal(err)
	}
	return newEstateOf(t, data)
}

// newEstateOf starts a platform with the given settings, two control processes
// and two entries. The prepare functions run before the control processes
// start.
func newEstateOf(t *testing.T, data []byte, prepare ...func(*estate, *settings.Effective)) *estate {
	t.Helper()
	effective, err := settings.ParseEffective(data)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &estate{t: t, ctx: ctx, platform: standin.NewPlatform()}
	t.Cleanup(func() { cancel(); s.platform.Fleet.Close() })
	for name, place := range effective.Places {
		h := host.Host{Name: name, Address: "127.0.0.1:0", Place: place, Slots: 8, Connections: 64}
		if err := s.platform.Fleet.Add(h); err != nil {
			t.Fatal(err)
		}
	}
	store := rollout.NewStore(s.platform.Table, s.platform.Objects, nil)
	if _, err := store.Accept(ctx, data, 0, adminapi.NewChangeID()); err != nil {
		t.Fatal(err)
	}
	for _, p := range prepare {
		p(s, effective)
	}
	for i := range 2 {
		s.startControl(fmt.Sprintf("control-%d", i+1))
	}
	for i := range 2 {
		s.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	return s
}

func (s *estate) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { l.Close() })
	return l
}

func (s *estate) startControl(name string) {
	l := s.listen()
	m := control.New(control.Options{
		Name: name, Address: l.Addr().String(), AdminAddress: l.Addr().String(),
		Incarnation: rand.Uint64(), Platform: s.platform.Interfaces(), Log: zap.NewNop(),
	})
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterControl(mux, m); err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(s.ctx)
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }()
	go func() { _ = m.Run(ctx) }()
	s.managers = append(s.managers, m)
	s.stops = append(s.stops, stop)
	s.control = append(s.control, l.Addr().String())
}

func (s *estate) startEntry(name string) {
	l := s.listen()
	s.platform.Fleet.SetListed(name, &platform.ListedHost{
		Host: host.Host{Name: name}, State: platform.HostLive, Entry: true,
	})
	e := entry.New(entry.Options{
		Name: name, Address: l.Addr().String(), Control: s.control, Incarnation: rand.Uint64(),
		Boot: name, Platform: s.platform.Interfaces(), Log: zap.NewNop(),
	})
	server := e.NewServer()
	go func() { _ = server.Serve(l) }()
	go func() { _ = e.Run(s.ctx) }()
	s.callers = append(s.callers, "http://"+l.Addr().String())
	s.wait(name+" is ready", e.Ready)
}

// wait polls until ok returns true, and fails the test after movesTimeout.
func (s *estate) wait(what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(movesTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	for _, m := range s.managers {
		s.t.Log(control.Debug(m))
	}
	s.t.Fatalf("%s: not within %v", what, movesTimeout)
}

// call sends requests to one service, one after the other, until ctx ends.
func (s *estate) call(ctx context.Context, base, service string) {
	for i := 0; ctx.Err() == nil; i++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/%s/%d", base, service, i), nil)
		if err != nil {
			s.t.Error(err)
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}
}

// moves returns the number of completed moves of all hosts.
func (s *estate) moves() int {
	n := 0
	for _, row := range control.HostRows(s.managers[0]) {
		n += row.Moves
	}
	return n
}

// TestNoTwoPoolsRouteToOneHost guards against a host that serves two pools at
// once. It moves hosts between two pools under constant traffic while the table
// loses replies, drops commits and becomes slow and one control process is
// replaced.
func TestNoTwoPoolsRouteToOneHost(t *testing.T) {
	s := newEstate(t)
	for _, h := range []string{"kano-01", "kano-02", "kano-03", "kano-04", "admin-01", "admin-02"} {
		w, _ := s.platform.Fleet.Worker(h)
		w.SetFaults(standin.WorkerFaults{Delay: 3 * time.Millisecond})
	}
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	for _, base := range s.callers {
		for _, service := range []string{"orders", "ledger", "orders", "ledger"} {
			wg.Go(func() { s.call(ctx, base, service) })
		}
	}
	random := rand.New(rand.NewPCG(movesSeed, 0))
	faults := map[int]func(){
		2: func() { s.platform.Table.SetFaults(standin.Faults{LoseAnswers: 3}) },
		4: func() { s.platform.Table.SetFaults(standin.Faults{DropCommits: 3}) },
		6: func() { s.stops[1](); s.startControl("control-3") },
		8: func() { s.platform.Table.SetFaults(standin.Faults{Latency: 20 * time.Millisecond}) },
	}
	done := -1
	s.wait(fmt.Sprintf("%d moves", wantedMoves), func() bool {
		if n := s.moves(); n != done {
			done = n
			if fault := faults[n]; fault != nil {
				fault()
			}
		}
		for _, m := range s.managers {
			control.StartMove(m, random.IntN)
		}
		return done >= wantedMoves
	})
	stop()
	wg.Wait()
	checkHistory(t, s.platform.Fleet.Recorder.Executions())
}

// checkHistory fails the test if executions of two pools overlap at a host, or
// if no host served both pools.
func checkHistory(t *testing.T, executions []standin.Execution) {
	t.Helper()
	byHost := map[string][]standin.Execution{}
	for _, e := range executions {
		byHost[e.Host] = append(byHost[e.Host], e)
	}
	changes := 0
	for name, list := range byHost {
		slices.SortFunc(list, func(a, b standin.Execution) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			if poolOf(before) == poolOf(after) {
				continue
			}
			changes++
			for _, earlier := range list[max(0, i-64):i] {
				if poolOf(earlier) != poolOf(after) && (earlier.End.IsZero() || earlier.End.After(after.Start)) {
					t.Errorf("%s ran %s until %v and %s from %v", name, earlier.Path, earlier.End, after.Path, after.Start)
				}
			}
		}
	}
	t.Logf("%d executions, %d changes of pool at hosts", len(executions), changes)
	if changes == 0 {
		t.Error("no host served two pools, so overlaps could not occur")
	}
}

// poolOf returns the service of an execution. The traffic uses one service per
// pool, so the service identifies the pool.
func poolOf(e standin.Execution) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(e.Path, "/"), "/")
	return service
}

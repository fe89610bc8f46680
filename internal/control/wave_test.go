package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/control"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	// dueFile is a tree whose hosts are all due for maintenance at once.
	dueFile = "../../test/testdata/maintenance.yaml"
	// rebootTime is longer than the time between two reads of the host list, so
	// that the host is missing from at least one of them.
	rebootTime = 2500 * time.Millisecond
	// requestTime is longer than the steps from a drain to a reboot would take
	// if they did not wait for requests in progress.
	requestTime = 4 * time.Second
	wavePool    = "kano-ordering"
)

// newWaves starts an estate whose hosts are all due for maintenance.
func newWaves(t *testing.T, maxUnavailable int) *estate {
	t.Helper()
	data, err := os.ReadFile(dueFile)
	if err != nil {
		t.Fatal(err)
	}
	tree := strings.Replace(string(data), "max_unavailable: 1", fmt.Sprintf("max_unavailable: %d", maxUnavailable), 1)
	s := newEstateOf(t, []byte(tree), makeDue)
	s.platform.Fleet.RebootTime = rebootTime
	return s
}

// makeDue writes the rows of all hosts with a maintenance time longer ago than
// any period. Hosts whose first rows a control process writes would not be
// due at first.
func makeDue(s *estate, effective *settings.Effective) {
	s.t.Helper()
	const longAgo = 1
	var txn platform.Txn
	for name, pool := range effective.HomePool {
		row := host.Row{Host: name, Pool: pool, Phase: host.Serving, Since: longAgo, Maintained: longAgo}
		value, err := json.Marshal(row)
		if err != nil {
			s.t.Fatal(err)
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: host.Key(name), Value: value})
	}
	if _, err := s.platform.Table.Commit(s.ctx, txn); err != nil {
		s.t.Fatal(err)
	}
}

// rows returns all host rows from one scan of the table.
func (s *estate) rows() map[string]host.Row {
	s.t.Helper()
	scanned, err := s.platform.Table.Scan(s.ctx, host.KeyPrefix, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	rows := map[string]host.Row{}
	for _, r := range scanned {
		var row host.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.t.Fatal(err)
		}
		rows[row.Host] = row
	}
	return rows
}

// inWave returns the hosts of a pool that are draining or stopped for
// maintenance.
func inWave(rows map[string]host.Row, pool string) []string {
	var names []string
	for name, row := range rows {
		if row.Pool == pool && row.Phase != host.Serving && row.Purpose == host.ForMaintenance {
			names = append(names, name)
		}
	}
	return names
}

// sendRequests sends requests one after the other until ctx ends, and fails the
// test for each that is not answered completely.
func (s *estate) sendRequests(ctx context.Context, caller int, method, service string) {
	for i := 0; ctx.Err() == nil; i++ {
		path, id := fmt.Sprintf("/%s/%d", service, i), fmt.Sprintf("steady-%d-%s-%d", caller, service, i)
		req, err := http.NewRequestWithContext(s.ctx, method, s.callers[caller]+path, nil)
		if err != nil {
			s.t.Error(err)
			return
		}
		req.Header.Set(standin.RequestIDHeader, id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			s.t.Errorf("%s: %v", id, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(body) != standin.Answer(method, path, id, nil) {
			s.t.Errorf("%s: status %d, %q: %v", id, resp.StatusCode, body, err)
		}
	}
}

// TestMaintenanceCompletes guards against maintenance that stalls, takes more
// hosts of a pool out of service than the settings allow, or cuts off requests.
// All hosts go through maintenance while callers send requests.
func TestMaintenanceCompletes(t *testing.T) {
	t.Parallel()
	s := newWaves(t, 1)
	began := time.Now().UnixMilli()
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	for caller := range s.callers {
		wg.Go(func() { s.sendRequests(ctx, caller, http.MethodGet, "stock") })
		for range 2 {
			wg.Go(func() { s.sendRequests(ctx, caller, http.MethodPost, "orders") })
		}
		wg.Go(func() { s.sendRequests(ctx, caller, http.MethodPost, "ledger") })
	}
	s.assumeKnownDemand()
	s.wait("all hosts are maintained", func() bool {
		rows := s.rows()
		s.delayRequests(rows)
		for _, pool := range []string{wavePool, "shared-administration"} {
			if unavailable := inWave(rows, pool); len(unavailable) > 1 {
				t.Fatalf("%v of %s are unavailable at once", unavailable, pool)
			}
		}
		for _, row := range rows {
			if row.Maintained < began || row.Phase != host.Serving {
				return false
			}
		}
		return true
	})
	stop()
	wg.Wait()
	t.Logf("%d executions", len(s.platform.Fleet.Recorder.Executions()))
}

// delayRequests delays requests at all hosts, including those that returned
// from a reboot, so that drains meet requests in progress.
func (s *estate) delayRequests(rows map[string]host.Row) {
	for name := range rows {
		w, _ := s.platform.Fleet.Worker(name)
		w.SetFaults(standin.WorkerFaults{Delay: requestTime})
	}
}

// assumeKnownDemand skips the period after the start in which all hosts are
// needed because too little is known of the demand.
func (s *estate) assumeKnownDemand() {
	for _, m := range s.managers {
		control.AssumeKnownDemand(m)
	}
}

// wave returns the state of the pool's wave at the owner of the spare pool.
func (s *estate) wave() control.Wave {
	for _, m := range s.managers {
		if wave, owns := control.WaveOf(m, wavePool); owns {
			return wave
		}
	}
	return control.Wave{}
}

// TestFailureInWavePausesIt guards against a wave that goes on after a failure.
// It loses a host while others of its pool are in maintenance: those must
// return, and no further host may be drained until the lost one is back.
func TestFailureInWavePausesIt(t *testing.T) {
	t.Parallel()
	s := newWaves(t, 3)
	s.assumeKnownDemand()
	s.wait("a wave runs", func() bool { return len(inWave(s.rows(), wavePool)) > 0 })
	const failing = "kano-35"
	if phase := s.rows()[failing].Phase; phase != host.Serving {
		t.Fatalf("%s is %s before it fails", failing, phase)
	}
	w, _ := s.platform.Fleet.Worker(failing)
	s.platform.Fleet.SetListed(failing, nil)
	s.wait("the wave is paused", func() bool { return s.wave().Paused })
	taken := map[string]bool{}
	for _, name := range inWave(s.rows(), wavePool) {
		taken[name] = true
	}
	s.wait("the hosts of the wave return", func() bool { return len(s.pausedWave(taken)) == 0 })
	const rounds = 3
	for range rounds {
		last := s.wave().Planned
		s.wait("another round of planning", func() bool {
			s.pausedWave(taken)
			return s.wave().Planned.After(last)
		})
	}
	s.platform.Fleet.SetListed(failing, &platform.ListedHost{Host: w.Host, State: platform.HostLive})
	s.wait("the wave is resumed", func() bool { return len(inWave(s.rows(), wavePool)) > 0 && !s.wave().Paused })
}

// pausedWave returns the hosts in maintenance, and fails the test if one of
// them is not in taken, the hosts that were in the wave when it was paused.
func (s *estate) pausedWave(taken map[string]bool) []string {
	s.t.Helper()
	names := inWave(s.rows(), wavePool)
	for _, name := range names {
		if !taken[name] {
			s.t.Fatalf("%s was drained for maintenance while the wave was paused", name)
		}
	}
	return names
}

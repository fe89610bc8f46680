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
	// rebootTime is longer than two readings of the host list are apart, so
	// that a reboot is seen there.
	rebootTime = 2500 * time.Millisecond
	// requestTime is longer than the steps from a drain to a reboot would take
	// if they did not wait for requests in progress.
	requestTime = 4 * time.Second
	wavePool    = "kano-ordering"
)

// newWaves starts an estate whose hosts are all due, with the demand known.
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

// makeDue writes the rows of all hosts, last maintained longer ago than any
// period: hosts that controls claim by themselves are not due at first.
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

// rows returns all host rows, as one scan of the table has them.
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

// inWave returns the hosts of a pool that drain or stopped for maintenance.
func inWave(rows map[string]host.Row, pool string) []string {
	var names []string
	for name, row := range rows {
		if row.Pool == pool && row.Phase != host.Serving && row.Purpose == host.ForMaintenance {
			names = append(names, name)
		}
	}
	return names
}

// steady sends requests one after the other until ctx ends, and fails the test
// for each that is not answered whole.
func (s *estate) steady(ctx context.Context, caller int, method, service string) {
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

// TestMaintenanceCompletes takes all hosts through their maintenance while
// callers send requests: every host is rebooted and returned, no pool has more
// hosts away than the settings allow, and every request is answered whole.
func TestMaintenanceCompletes(t *testing.T) {
	t.Parallel()
	s := newWaves(t, 1)
	began := time.Now().UnixMilli()
	ctx, stop := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	for caller := range s.callers {
		wg.Go(func() { s.steady(ctx, caller, http.MethodGet, "stock") })
		for range 2 {
			wg.Go(func() { s.steady(ctx, caller, http.MethodPost, "orders") })
		}
		wg.Go(func() { s.steady(ctx, caller, http.MethodPost, "ledger") })
	}
	s.knowDemand()
	s.wait("all hosts are maintained", func() bool {
		rows := s.rows()
		s.slowDown(rows)
		for _, pool := range []string{wavePool, "shared-administration"} {
			if away := inWave(rows, pool); len(away) > 1 {
				t.Fatalf("%v of %s are away at once", away, pool)
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

// slowDown lets requests take a while at all workers, also at those that came
// back from a reboot, so that drains meet requests in progress.
func (s *estate) slowDown(rows map[string]host.Row) {
	for name := range rows {
		w, _ := s.platform.Fleet.Worker(name)
		w.SetFaults(standin.WorkerFaults{Delay: requestTime})
	}
}

// knowDemand ends the time in which all hosts are needed since too little is
// known of the demand.
func (s *estate) knowDemand() {
	for _, m := range s.managers {
		control.KnowDemand(m)
	}
}

// wave returns what the owner of the spare pool knows of the pool's wave.
func (s *estate) wave() control.Wave {
	for _, m := range s.managers {
		if wave, owns := control.WaveOf(m, wavePool); owns {
			return wave
		}
	}
	return control.Wave{}
}

// TestFailureInWavePausesIt loses a host while others of its pool are in
// maintenance: those return, and no further host is taken until the lost one
// is back.
func TestFailureInWavePausesIt(t *testing.T) {
	t.Parallel()
	s := newWaves(t, 3)
	s.knowDemand()
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
		s.wait("a further planning", func() bool {
			s.pausedWave(taken)
			return s.wave().Planned.After(last)
		})
	}
	s.platform.Fleet.SetListed(failing, &platform.ListedHost{Host: w.Host, State: platform.HostLive})
	s.wait("the wave goes on", func() bool { return len(inWave(s.rows(), wavePool)) > 0 && !s.wave().Paused })
}

// pausedWave returns the hosts of the wave, and fails the test if it took one
// that was not in it when it paused.
func (s *estate) pausedWave(taken map[string]bool) []string {
	s.t.Helper()
	names := inWave(s.rows(), wavePool)
	for _, name := range names {
		if !taken[name] {
			s.t.Fatalf("%s was taken while the wave is paused", name)
		}
	}
	return names
}

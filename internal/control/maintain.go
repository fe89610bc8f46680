package control

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/cespare/xxhash/v2"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/maintenance"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// rebootAssumedAfter is the time after a reboot request at which a host
	// that was never missing from the host list counts as rebooted. The list
	// lags, so a short absence may not appear in it.
	rebootAssumedAfter = 60 * time.Second
	// rebootTimeout bounds the call that requests a reboot.
	rebootTimeout = 5 * time.Second
)

// waves is the state of the maintenance waves of all pools, kept by the owner
// of the spare pool. Only the control goroutine uses it.
type waves struct {
	// paused contains the pools whose wave is paused.
	paused map[string]bool
	// seenUnlisted contains the hosts that were missing from the host list
	// since their last reboot request.
	seenUnlisted map[string]bool
	// rebooting contains the hosts with a reboot request in progress.
	rebooting map[string]bool
	// progress is the last progress report of each pool.
	progress map[string]maintenance.Progress
}

func newWaves() waves {
	return waves{
		paused: map[string]bool{}, seenUnlisted: map[string]bool{}, rebooting: map[string]bool{},
		progress: map[string]maintenance.Progress{},
	}
}

// firstMaintained returns the time, in Unix milliseconds, that is recorded as
// the last maintenance of a host for which none is known. It spreads hosts by
// their names over the time in which no host is due, so that they become due
// one by one.
func firstMaintained(name string, period time.Duration, now time.Time) int64 {
	const parts = 1 << 16
	age := time.Duration(xxhash.Sum64String(name)%parts) * (maintenance.DueAfter(period) / parts)
	return now.Add(-age).UnixMilli()
}

// maintain plans the maintenance waves and executes their next steps. budgets
// is the spent share of each pool's availability budget; the steps are
// committed under the epoch of spare, the spare pool's shard.
func (m *Manager) maintain(spare *shard, effective *settings.Effective, budgets map[string]float64) {
	state := maintenance.State{Now: m.now(), Pools: m.maintenancePools(effective, budgets)}
	for _, step := range maintenance.Plan(state) {
		m.executeStep(spare, step)
	}
	for _, p := range maintenance.Report(state) {
		m.waves.progress[p.Pool] = p
	}
}

// executeStep executes one step of a wave.
func (m *Manager) executeStep(spare *shard, step maintenance.Step) {
	row, known := m.fleet.rows[step.Host]
	switch step.Action {
	case maintenance.Pause, maintenance.Resume:
		m.setWavePaused(step)
	case maintenance.Drain:
		if known && row.Phase == host.Serving {
			event.MaintenanceBegun.Log(m.log, zap.String("host", step.Host), zap.String("pool", step.Pool),
				zap.String("reason", string(step.Reason)))
			m.beginDrain(spare, row, host.ForMaintenance, "")
		}
	case maintenance.Stop:
		// The owner of the host's pool stops it when its drain is complete.
	case maintenance.Reboot:
		if known && row.Phase == host.Stopped && row.RebootAsked == 0 {
			m.reboot(spare, row)
		}
	case maintenance.Return:
		if known {
			m.returnHost(spare, row, step)
		}
	}
}

// setWavePaused records that a pool's wave is paused or resumed.
func (m *Manager) setWavePaused(step maintenance.Step) {
	paused := step.Action == maintenance.Pause
	m.waves.paused[step.Pool] = paused
	e := event.WaveResumed
	if paused {
		e = event.WavePaused
	}
	e.Log(m.log, zap.String("pool", step.Pool), zap.String("reason", string(step.Reason)))
}

// reboot requests the reboot of a stopped host from the platform and then
// records the request in the host's row. If the record is lost, the reboot is
// requested again, which is harmless because the host runs nothing.
func (m *Manager) reboot(spare *shard, row hostRow) {
	if m.waves.rebooting[row.Host] || spare.committing[row.Host] {
		return
	}
	m.waves.rebooting[row.Host] = true
	delete(m.waves.seenUnlisted, row.Host)
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, rebootTimeout)
		defer cancel()
		err := m.platform.Workers.Reboot(ctx, row.Host)
		m.exec.Do(m.ctx, func() { m.rebootRequested(spare, row, err) })
	}()
}

// rebootRequested handles the result of a reboot request.
func (m *Manager) rebootRequested(spare *shard, row hostRow, err error) {
	delete(m.waves.rebooting, row.Host)
	if err != nil {
		m.log.Debug("failed to request a reboot", zap.String("host", row.Host), zap.Error(err))
		return
	}
	row.RebootAsked = m.now().UnixMilli()
	m.commitRow(spare, row, platform.Txn{}, event.RebootAsked)
}

// returnHost returns a host to service. Only a host that was rebooted counts as
// maintained.
func (m *Manager) returnHost(spare *shard, row hostRow, step maintenance.Step) {
	if row.Phase == host.Stopped && row.RebootAsked > 0 {
		row.Maintained = m.now().UnixMilli()
	}
	row.RebootAsked = 0
	event.MaintenanceEnded.Log(m.log, zap.String("host", step.Host), zap.String("pool", step.Pool),
		zap.String("reason", string(step.Reason)))
	m.setPhase(spare, row, host.Serving, event.HostReturned)
}

// maintenancePools returns the input of maintenance planning, sorted by pool
// and host name.
func (m *Manager) maintenancePools(effective *settings.Effective, budgets map[string]float64) []maintenance.Pool {
	byName := map[string]*maintenance.Pool{}
	for name, values := range effective.Pools {
		byName[name] = &maintenance.Pool{
			Values: values, Need: m.sizing.needed[name], BudgetSpent: budgets[name], Paused: m.waves.paused[name],
		}
	}
	for name, row := range m.fleet.rows {
		if p := byName[row.Pool]; p != nil {
			p.Hosts = append(p.Hosts, m.maintenanceHost(name, row))
		}
	}
	pools := make([]maintenance.Pool, 0, len(byName))
	for _, p := range byName {
		sort.Slice(p.Hosts, func(i, j int) bool { return p.Hosts[i].Name < p.Hosts[j].Name })
		pools = append(pools, *p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Values.Pool < pools[j].Values.Pool })
	return pools
}

// maintenanceHost returns the planner's view of a host. It also records in
// seenUnlisted that the host is missing from the list.
func (m *Manager) maintenanceHost(name string, row hostRow) maintenance.Host {
	listed, ok := m.fleet.listedHost(name)
	live := ok && listed.State == platform.HostLive
	if !ok {
		m.waves.seenUnlisted[name] = true
	}
	h := maintenance.Host{
		Name: name, Place: m.fleet.lastListed[name].Place, Phase: row.Phase, Purpose: row.Purpose,
		Since: time.UnixMilli(row.Since), Listed: live,
		Rebooted: m.rebooted(row), Tasks: m.jobs.Tasks(name).Tasks,
	}
	if row.Maintained > 0 {
		h.Maintained = time.UnixMilli(row.Maintained)
	}
	return h
}

// rebooted reports whether the requested reboot of a stopped host has happened.
// The list lags: a host that is still listed as live may not have gone down
// yet.
func (m *Manager) rebooted(row hostRow) bool {
	if row.RebootAsked == 0 {
		return false
	}
	return m.waves.seenUnlisted[row.Host] || m.now().Sub(time.UnixMilli(row.RebootAsked)) > rebootAssumedAfter
}

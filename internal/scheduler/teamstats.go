package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
)

const (
	// teamsInterval is the time between two reports about the teams. A team that has
	// not waited for its quota for that long does not wait any more: passes are
	// repeated each passInterval.
	teamsInterval = time.Second
	// maxTeamSeries bounds the teams that are reported one by one. The others are
	// summed up as OtherTeams.
	maxTeamSeries = 32
	// OtherTeams is the name of the sum of the teams beyond the reported ones. No
	// team has it, as it contains a space.
	OtherTeams = "other teams"
)

// TeamStats describes a team at the last report. It is published under its field
// names.
type TeamStats struct {
	Team string
	// Running counts its runs, Waiting its tasks that are ready to start.
	Running, Waiting int
	// Held is what its runs and orphans hold, Unread what undiscovered runs of
	// previous owners may hold beside it, and Quota its quota, 0 for none.
	Held, Unread, Quota placement.Resources
	// Share is its largest dominant share of a pool over the last seconds, 0 to 1.
	Share float64
	// Beyond counts the jobs that it submitted beyond its weight.
	Beyond int64
	// QuotaWaitMS is how long it has been waiting for its quota, in milliseconds, 0
	// if it does not.
	QuotaWaitMS int64
}

// TeamStats returns the teams of the last report, those with the most tasks first.
// It is read only.
func (e *Engine) TeamStats() []TeamStats { return e.teamStats }

// reportTeams updates the statistics of the teams and logs which have begun to wait
// for their quotas, and which have stopped.
func (e *Engine) reportTeams(now time.Duration) {
	if now < e.nextTeamsReport || len(e.teams) == 0 {
		return
	}
	e.nextTeamsReport = now + teamsInterval
	waiting, shares := map[*team]int{}, map[*team]float64{}
	for _, p := range e.pools {
		for s := range p.ready {
			if t := s.job.team; t != nil {
				waiting[t] += s.idle
			}
		}
		p.shares.SetCapacity(p.capacity())
		for _, t := range e.teams {
			if m := p.shares.Find(t.name); m != nil {
				shares[t] = max(shares[t], m.Share())
			}
		}
	}
	e.teamStats = make([]TeamStats, 0, len(e.teams))
	for _, name := range slices.Sorted(maps.Keys(e.teams)) {
		t := e.teams[name]
		t.logQuotaWait(e, waiting[t], now)
		s := TeamStats{Team: name, Running: t.account.Tasks(), Waiting: waiting[t], Held: t.account.Held(), Unread: t.account.Undiscovered(), Share: shares[t], Beyond: t.beyond}
		s.Quota, _ = t.account.Quota()
		if t.waitsSince > 0 {
			s.QuotaWaitMS = (now - t.waitsSince).Milliseconds()
		}
		e.teamStats = append(e.teamStats, s)
	}
	slices.SortStableFunc(e.teamStats, func(a, b TeamStats) int { return -cmp.Compare(a.Running+a.Waiting, b.Running+b.Waiting) })
	if len(e.teamStats) > maxTeamSeries {
		e.teamStats = append(e.teamStats[:maxTeamSeries:maxTeamSeries], sumOf(e.teamStats[maxTeamSeries:]))
	}
}

// sumOf sums up teams. The longest wait counts.
func sumOf(list []TeamStats) TeamStats {
	sum := TeamStats{Team: OtherTeams}
	for _, s := range list {
		sum.Running, sum.Waiting, sum.Share, sum.Beyond = sum.Running+s.Running, sum.Waiting+s.Waiting, sum.Share+s.Share, sum.Beyond+s.Beyond
		sum.Held, sum.Unread, sum.Quota = sum.Held.Add(s.Held), sum.Unread.Add(s.Unread), sum.Quota.Add(s.Quota)
		sum.QuotaWaitMS = max(sum.QuotaWaitMS, s.QuotaWaitMS)
	}
	return sum
}

// logQuotaWait logs the begin or the end of a wait for the team's quota.
func (t *team) logQuotaWait(e *Engine, waiting int, now time.Duration) {
	waits := t.blockedAt > 0 && now-t.blockedAt < teamsInterval
	switch {
	case waits && t.waitsSince == 0:
		t.waitsSince = t.blockedAt
		held, unread := t.account.Held(), t.account.Undiscovered()
		quota, _ := t.account.Quota()
		event.TeamWaits.Log(e.opts.Log, zap.String("team", t.name), zap.Stringer("task", t.blockedTask.id()), zap.Bool("too_large", t.tooLarge),
			zap.Any("size", t.blockedTask.step.Size), zap.Any("held", held), zap.Any("unread", unread), zap.Any("quota", quota),
			zap.Any("reserved", t.reservedBeside(t.blockedTask.step, now)),
			zap.Int("running", t.account.Tasks()), zap.Int("waiting", waiting))
	case !waits && t.waitsSince > 0:
		event.TeamWaitEnded.Log(e.opts.Log, zap.String("team", t.name), zap.Duration("after", now-t.waitsSince), zap.Int("waiting", waiting))
		t.waitsSince = 0
	}
}

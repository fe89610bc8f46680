package scheduler

import (
	"slices"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
)

const (
	// maxTicketWait is how long quota is reserved for a step while the recommendation
	// service does not answer. A request that times out takes 3 s, and the next one may
	// be answered. A service that is down must not keep the team's other tasks waiting.
	maxTicketWait = 5 * time.Second
	// reservationAge is the age after which a reservation has ended. Each pass of the
	// step's pool renews it.
	reservationAge = 2 * passInterval
)

// reservation is the part of a team's quota that is kept for a long-running step
// while it waits for tickets.
type reservation struct {
	size placement.Resources
	at   time.Duration
	// since is when quota was first reserved, 0 if the recommendation service has
	// answered the step's last request.
	since time.Duration
}

// reserveQuota keeps the quota for a long-running step that waits for tickets for the
// given workers, n tasks of which start together.
func (e *Engine) reserveQuota(s *step, n int, workers []*worker, now time.Duration) {
	t := s.job.team
	if t == nil || !s.LongRunning || !e.quotas.Limited() {
		return
	}
	if s.reserved.since > 0 && now-s.reserved.since > maxTicketWait {
		return
	}
	count := s.freePlaces(s.idle, workers)
	for count >= n && !t.account.MayFit(count, s.Size) {
		count--
	}
	if count < n {
		return
	}
	if s.reserved.since == 0 {
		s.reserved.since = now
	}
	s.reserved.size, s.reserved.at = times(count, s.Size), now
	t.reserving = append(slices.DeleteFunc(t.reserving, func(r *step) bool { return r == s || !r.reserves(now) }), s)
}

// freePlaces returns for how many more tasks of the step, up to a limit, the workers
// have free capacity, without those that the recommendation service denies.
func (s *step) freePlaces(limit int, workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += s.placesOn(w, limit-n, w.freeFor(s), s.runsOn(w))
	}
	return n
}

// reserves reports whether quota is reserved for the step.
func (s *step) reserves(now time.Duration) bool {
	return now-s.reserved.at <= reservationAge && s.idle > 0 && !s.job.ended()
}

// reservedBeside returns what is reserved of the team's quota for other steps than the
// given one. Long-running steps take it from each other, by rank.
func (t *team) reservedBeside(s *step, now time.Duration) placement.Resources {
	var sum placement.Resources
	if t == nil || s.LongRunning {
		return sum
	}
	for _, r := range t.reserving {
		if r.reserves(now) {
			sum = sum.Add(r.reserved.size)
		}
	}
	return sum
}

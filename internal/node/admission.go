package node

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/admission"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// loadInterval is the least time between two computations of the published load.
	loadInterval = 250 * time.Millisecond
	// maxHostsAge is the age of the host list from which no pool counts as full:
	// hosts may be on their way.
	maxHostsAge = 2 * time.Second
)

// admissionGate is the gate of a process. It is safe for concurrent use.
type admissionGate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

func newAdmissionGate() *admissionGate { return &admissionGate{gate: admission.NewGate()} }

// limitsLoad reports whether jobs are refused for the load of their pool.
func (n *Node) limitsLoad(c *estate.Catalog) bool {
	return c != nil && (n.Pressure || len(c.Teams) > 0)
}

// refuse returns the refusal of a job that certainly cannot end in time to be of
// use, or false. A job that is stored already is not refused.
func (n *Node) refuse(r *queueRequest, j *workload.Job) (response, bool) {
	c := r.catalog
	if !n.limitsLoad(c) {
		return response{}, false
	}
	now := n.Clock.Now()
	state, known := n.admissionView(now)
	if !known {
		return response{}, false
	}
	job := admissionJob(j, c, state.State)
	n.admission.mu.Lock()
	d := n.admission.gate.Decide(state, job, now)
	n.admission.mu.Unlock()
	if !d.Refused {
		r.notStored = func() {
			n.admission.mu.Lock()
			defer n.admission.mu.Unlock()
			n.admission.gate.Withdraw(job, now)
		}
		return response{}, false
	}
	ctx, cancel := context.WithDeadline(r.Request().Context(), r.deadline)
	defer cancel()
	if stored, err := n.readProgress(ctx, j.ID); err != nil || stored != nil {
		return response{}, false // answered by the submission
	}
	n.metrics.refused.Add("pool full", 1)
	event.SubmissionRefusedForLoad.Log(n.Log, zap.String("job", j.ID), zap.String("queue", j.Queue), zap.String("pool", j.Pool), zap.String("team", j.Team),
		zap.Duration("age", d.Age), zap.Float64("ahead_timely", d.AheadTimely), zap.Float64("ahead", d.Ahead), zap.Float64("admitted", d.Admitted),
		zap.Float64("capacity", d.Capacity), zap.Duration("timely", d.Timely), zap.Duration("useful", d.Useful), zap.Duration("retry_after", d.RetryAfter))
	return response{status: http.StatusTooManyRequests, reason: "not stored: the pool is full", retryAfter: d.RetryAfter}, true
}

// admissionView returns the load that the owner's last heartbeat published. It returns
// false if that has none, or is of a previous owner.
func (n *Node) admissionView(now time.Duration) (admission.View, bool) {
	view := n.view.Load()
	heartbeat := &view.Heartbeat
	if heartbeat.Admission == nil || heartbeat.Incarnation != view.Record.Incarnation {
		return admission.View{}, false
	}
	age := max(0, time.Duration(n.Clock.StoreMS(now)-heartbeat.JobsMS)*time.Millisecond)
	return admission.View{State: heartbeat.Admission, Version: view.HeartbeatVersion, AsOf: now - age}, true
}

// retryAfterHeader returns the value of Retry-After of a refusal, in whole seconds.
func (a *response) retryAfterHeader() string {
	if a.retryAfter == 0 {
		return retryAfterSeconds
	}
	return strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds())))
}

// admissionJob returns what the decision needs of a job. It takes the value of its
// work from the published means.
func admissionJob(j *workload.Job, c *estate.Catalog, s *admission.State) admission.Job {
	job := admission.Job{Pool: j.Pool, Team: j.Team, CriticalPath: j.CriticalPath()}
	if team := c.Teams[j.Team]; team != nil {
		job.Quota = team.Quota.Processors
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		job.Work += float64(step.Count) * step.Requests().Processors * step.Estimate.Seconds()
	}
	priority, mean := 0, 0.0
	if q := j.Terms; q != nil {
		priority = q.Priority
		// A job without a queue's terms, with a schedule, or of long-running or filler
		// tasks has no objective here, and is not refused.
		if j.Schedule == nil && job.Work > 0 && !j.RunsUntilCancelled() {
			job.Objective = time.Duration(q.Stretch*float64(job.CriticalPath)) + q.LatencyTarget
		}
	}
	for i := range s.Pools {
		if s.Pools[i].Name == j.Pool {
			mean = s.Pools[i].MeanWork[j.Queue]
		}
	}
	if job.Work > 0 {
		job.Rank = admission.Rank(priority, scheduler.Weight(j.Work(), mean)/job.Work)
	}
	return job
}

// poolLoad is the load of the full pools, nil for none, and when it was computed.
type poolLoad struct {
	state *admission.State
	at    time.Duration
}

// updateLoad sets the load that the next heartbeats publish.
func (o *owner) updateLoad(now time.Duration) {
	if !o.node.limitsLoad(o.node.catalog.Load()) {
		o.poolLoad = poolLoad{}
		return
	}
	if now-o.poolLoad.at < loadInterval {
		return
	}
	state := &admission.State{Pools: o.engine.Loads(now)}
	o.fleetController.addHosts(state, now)
	state.Bound()
	if len(state.Pools) == 0 {
		state = nil
	}
	o.poolLoad = poolLoad{state, now}
}

// addHosts adds what the host list tells: the number of entries, and the capacity of
// hosts without a worker. It drops the pools that may get more hosts, which are not
// full.
func (f *fleetController) addHosts(s *admission.State, now time.Duration) {
	catalog, own := f.owner.node.catalog.Load(), ""
	moving, absent := map[string]bool{}, map[string]float64{}
	standby := now-f.hostsAt > maxHostsAge
	listed := map[string]bool{}
	for _, id := range f.owner.engine.Listed() {
		listed[id] = true
	}
	for i := range f.hosts {
		h := &f.hosts[i]
		if h.Name == f.owner.node.Name {
			own = h.Pool
		}
		if p := catalog.Pools[h.Pool]; p != nil && p.Standby {
			standby = standby || h.State == estate.HostUp || h.State == estate.HostMoving
		}
		switch {
		case h.State == estate.HostMoving, h.State == estate.HostUp && !listed[h.WorkerID]:
			moving[h.Pool] = true
		case !listed[h.WorkerID]:
			absent[h.Pool] += h.Capacity.Processors
		}
	}
	if own != "" {
		for i := range f.hosts {
			if f.hosts[i].Pool == own && f.hosts[i].State == estate.HostUp {
				s.Entries++
			}
		}
	}
	var full []admission.Pool
	for _, p := range s.Pools {
		if !standby && !moving[p.Name] {
			p.Due += absent[p.Name]
			full = append(full, p)
		}
	}
	s.Pools = full
}

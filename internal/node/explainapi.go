package node

import (
	"context"
	"encoding/hex"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/admission"
	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// explainTimeout bounds the wait for the engine.
	explainTimeout = 2 * time.Second
	// explainedID stands for the id of a job that has none.
	explainedID = "0000000000000000"
)

// ExplainAPI tells in egretpitch's own administration API where requests and jobs
// would go. It changes nothing and sends nothing to workers.
type ExplainAPI struct{ node *Node }

// NewExplainAPI returns the explanations of a process.
func NewExplainAPI(n *Node) *ExplainAPI { return &ExplainAPI{node: n} }

// Register adds the route to e.
func (a *ExplainAPI) Register(e *echo.Echo) { e.POST(adminapi.PathExplain, a.explain) }

// explain answers with an explanation. Errors hold no part of the request, which has
// the digest of a key.
func (a *ExplainAPI) explain(c echo.Context) error {
	var req adminapi.ExplainRequest
	if err := c.Bind(&req); err != nil {
		return c.JSON(http.StatusBadRequest, adminapi.Problem{Message: "the request is malformed"})
	}
	catalog := a.node.catalog.Load()
	if catalog == nil {
		return c.JSON(http.StatusServiceUnavailable, adminapi.Problem{Message: refusalReasons[refusedNoConfiguration]})
	}
	x, err := a.node.explain(c.Request().Context(), catalog, &req)
	if err != nil {
		return c.JSON(http.StatusUnprocessableEntity, adminapi.Problem{Message: err.Error()})
	}
	return c.JSON(http.StatusOK, x)
}

// explain returns the explanation of a request, or an error if its job or digest is
// invalid.
func (n *Node) explain(ctx context.Context, catalog *estate.Catalog, req *adminapi.ExplainRequest) (*adminapi.Explanation, error) {
	now := n.Clock.Now()
	x := &adminapi.Explanation{Version: catalog.Version, AgeMS: -1}
	if age, known := n.confirmed.age(now); known {
		x.AgeMS = age.Milliseconds()
	}
	n.explainOwner(x, now)
	who := caller{lacks: refusedKeyMissing}
	if req.KeyDigest != "" {
		decoded, err := hex.DecodeString(req.KeyDigest)
		if err != nil || len(decoded) != len(estate.KeyDigest{}) {
			return nil, errors.New("key_digest is no SHA-256 digest")
		}
		who = callerWith(catalog, estate.KeyDigest(decoded))
	}
	x.Team, x.Fingerprint = who.team, who.fingerprint
	var job *workload.Job
	var queue *estate.Queue
	if req.Job != nil {
		spec := *req.Job
		spec.ID = explainedID
		jobs, err := (&JobsAPI{node: n}).jobs([]adminapi.JobSpec{spec}, catalog)
		if err != nil {
			return nil, err
		}
		job, queue = jobs[0], catalog.Queues[spec.Queue]
		job.Team = who.team
	} else {
		queue, x.NoQueue = explainRoute(catalog, req.Host, req.Path)
	}
	if queue == nil {
		return x, nil
	}
	x.Queue, x.Public, x.Pool = queue.Name, queue.Public, queue.Pool
	switch {
	case !catalog.RequiresKeys && !n.hasTeams():
	case n.configurationUse() == configurationUnconfirmed:
		x.Refused = refusalReasons[refusedUnconfirmed]
	case catalog.RequiresKeys && who.team == "" && !queue.Public:
		x.Refused = refusalReasons[who.lacks]
	}
	x.Admission = n.explainAdmission(catalog, queue.Pool, job, now)
	n.explainWorkers(ctx, x, job)
	return x, nil
}

// explainRoute returns the queue of a request, or nil and why there is none.
func explainRoute(catalog *estate.Catalog, host, path string) (*estate.Queue, string) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if q, _ := catalog.Route(host, path); q != nil {
		return q, ""
	}
	var prefixes []string
	for _, name := range slices.Sorted(maps.Keys(catalog.Queues)) {
		if q := catalog.Queues[name]; strings.EqualFold(q.Host, host) {
			prefixes = append(prefixes, q.PathPrefix)
		}
	}
	if len(prefixes) == 0 {
		return nil, "no queue has the host " + host
	}
	const shown = 10
	return nil, "the queues of the host have other path prefixes: " + strings.Join(prefixes[:min(len(prefixes), shown)], ", ")
}

// explainOwner sets what is known of the owner of the control work.
func (n *Node) explainOwner(x *adminapi.Explanation, now time.Duration) {
	if n.owner.Load() != nil {
		x.Owner, x.OwnerAddress, x.Owned = n.Name, n.Address, true
		return
	}
	view := n.view.Load()
	x.Owner, x.OwnerAddress, x.OwnerAgeMS = view.Record.Owner, view.Record.Address, -1
	if view.HeartbeatSeen > 0 {
		x.OwnerAgeMS = max(0, now-view.HeartbeatSeen).Milliseconds()
	}
}

// explainAdmission returns what this process would decide about a job for the load of
// its pool. Without a job it tells whether that is decided by the job.
func (n *Node) explainAdmission(catalog *estate.Catalog, pool string, job *workload.Job, now time.Duration) *adminapi.ExplainedAdmission {
	a := &adminapi.ExplainedAdmission{Decision: adminapi.AdmissionAdmitted, AgeMS: -1}
	if !n.limitsLoad(catalog) {
		a.Reason = "no job is refused for the load of its pool"
		return a
	}
	view, known := n.admissionView(now)
	if !known {
		a.Reason = "no load is published: no pool is full, or the owner has changed"
		return a
	}
	a.AgeMS = (now - view.AsOf).Milliseconds()
	i := slices.IndexFunc(view.Pools, func(p admission.Pool) bool { return p.Name == pool })
	switch {
	case now-view.AsOf > admission.MaxAge:
		a.Reason = "the published load is too old"
	case i < 0:
		a.Reason = "the pool is not full"
	case job == nil:
		a.Decision, a.Reason, a.Capacity = adminapi.AdmissionDepends, "the pool is full", view.Pools[i].Capacity()
	default:
		n.admission.mu.Lock()
		d := n.admission.gate.Preview(view, admissionJob(job, catalog, view.State), now)
		n.admission.mu.Unlock()
		a.Capacity, a.AheadTimely, a.Ahead, a.Admitted = d.Capacity, d.AheadTimely, d.Ahead, d.Admitted
		a.TimelyMS, a.UsefulMS, a.RetryAfterMS = d.Timely.Milliseconds(), d.Useful.Milliseconds(), d.RetryAfter.Milliseconds()
		switch {
		case d.Refused:
			a.Decision, a.Reason = adminapi.AdmissionRefused, "the pool is full, and the job cannot end in time to be of use"
		case d.Useful <= 0:
			a.Reason = "the pool is full, but the job has no objective"
		default:
			a.Reason = "the pool is full, but the job may end in time to be of use"
		}
	}
	return a
}

// explainWorkers sets what the engine tells about the workers of the pool, or why it
// does not.
func (n *Node) explainWorkers(ctx context.Context, x *adminapi.Explanation, job *workload.Job) {
	o := n.owner.Load()
	switch {
	case o == nil:
		x.NoWorkers = "this process does not own the control work"
		return
	case !o.deciding.Load():
		x.NoWorkers = "this process has just acquired the control work"
		return
	}
	answer, ok := o.explain(ctx, x.Pool, job)
	if !ok {
		x.NoWorkers = "the engine did not answer in time"
		return
	}
	x.Workers = workersExplained(&answer)
}

// explain asks the engine in the control goroutine. It returns false if there is no
// answer within explainTimeout.
func (o *owner) explain(ctx context.Context, pool string, job *workload.Job) (scheduler.Explanation, bool) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	answers := make(chan scheduler.Explanation, 1)
	o.post(ctx, func(now time.Duration) {
		if ctx.Err() == nil {
			answers <- o.engine.Explain(pool, job, now)
		}
	})
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
	case <-o.done:
	}
	return scheduler.Explanation{}, false
}

// workersExplained converts an answer of the engine.
func workersExplained(answer *scheduler.Explanation) *adminapi.ExplainedWorkers {
	out := &adminapi.ExplainedWorkers{
		CancelsAgeMS: answer.CancelsAge.Milliseconds(), EntriesAgeMS: answer.EntriesAge.Milliseconds(), Held: answer.Held,
		Total: answer.Workers, Explained: answer.Explained, WaitingSteps: answer.WaitingSteps,
	}
	for _, s := range answer.Steps {
		step := adminapi.ExplainedStep{Waits: s.Waits, Chosen: s.Chosen, Reasons: []adminapi.ExplainedReason{}}
		for _, r := range s.Reasons {
			step.Reasons = append(step.Reasons, adminapi.ExplainedReason(r))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

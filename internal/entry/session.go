package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/link"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

const (
	// exchangeWait is how long an owner may hold an exchange.
	exchangeWait = time.Second
	// exchangeTimeout bounds a whole exchange; a connection that is silent
	// for longer is dropped.
	exchangeTimeout = exchangeWait + time.Second
	// exchangeBackoff is the pause after a failed exchange.
	exchangeBackoff = 200 * time.Millisecond
	// sessionInterval is the time between two checks of the sessions.
	sessionInterval = 200 * time.Millisecond
)

// manageSessions keeps one session with each owner, and one with the home, the
// nearest control process that answers, until ctx ends.
func (e *Entry) manageSessions(ctx context.Context) error {
	ticker := time.NewTicker(sessionInterval)
	defer ticker.Stop()
	for {
		e.exec.Do(ctx, func() { e.adjustSessions(ctx) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// adjustSessions starts and ends sessions as the directory says.
func (e *Entry) adjustSessions(ctx context.Context) {
	want := e.wantedSessions()
	for address, cancel := range e.sessions {
		if !want[address] {
			cancel()
			delete(e.sessions, address)
		}
	}
	for address := range want {
		if e.sessions[address] == nil {
			sessionCtx, cancel := context.WithCancel(ctx)
			e.sessions[address] = cancel
			go e.session(sessionCtx, address)
		}
	}
}

// wantedSessions returns the addresses of the owners and of the home control
// process. The home tells the directory and the settings also while no owner
// answers.
func (e *Entry) wantedSessions() map[string]bool {
	want := map[string]bool{}
	if len(e.control) > 0 {
		want[e.control[e.home]] = true
	}
	for _, address := range e.directory.owners {
		if address != "" {
			want[address] = true
		}
	}
	return want
}

// isHome reports whether an address is that of the home.
func (e *Entry) isHome(address string) bool {
	return len(e.control) > 0 && e.control[e.home] == address
}

// switchHome makes the next control process the home, if address is that of the
// home.
func (e *Entry) switchHome(address string) {
	if e.isHome(address) {
		e.home = (e.home + 1) % len(e.control)
	}
}

// session exchanges with one control process until ctx ends.
func (e *Entry) session(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if err := e.exchange(ctx, address); err != nil {
			e.exec.Do(ctx, func() { e.switchHome(address) })
			_ = ctxtime.Sleep(ctx, exchangeBackoff)
		}
	}
}

// exchange reports to one control process and takes in what changed.
func (e *Entry) exchange(ctx context.Context, address string) error {
	var request *controlpb.ExchangeRequest
	if !e.exec.Do(ctx, func() { request = e.newExchangeRequest(address) }) {
		return ctx.Err()
	}
	began := e.elapsed()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply *controlpb.ExchangeReply
	err := e.rpc.Call(callCtx, address, "entry: exchange", func(conn drpc.Conn) error {
		var err error
		reply, err = controlpb.NewDRPCControlClient(conn).Exchange(callCtx, request)
		return err
	})
	if err != nil {
		return err
	}
	if len(reply.Settings) > 0 {
		tree, err := rollout.Unpack(reply.Settings)
		if err == nil {
			_, err = e.adopter.Offer(reply.SettingsVersion, tree, rollout.FromPush)
		}
		if err != nil {
			event.SettingsRefused.Log(e.log, zap.Uint64("version", reply.SettingsVersion), zap.Error(err))
		}
	}
	e.exec.Do(ctx, func() {
		if e.isHome(address) {
			e.homeLastReply = e.elapsed()
		}
		e.applyReply(reply, began)
	})
	return nil
}

// newExchangeRequest makes the next request to a control process.
func (e *Entry) newExchangeRequest(address string) *controlpb.ExchangeRequest {
	request := &controlpb.ExchangeRequest{
		Entry:            e.name,
		Incarnation:      e.incarnation,
		DirectoryVersion: e.directory.version,
		WaitMs:           uint32(exchangeWait.Milliseconds()),
		// The home brings settings; where it does not, the next home or the
		// table does.
		SettingsElsewhere: !e.isHome(address) && !e.homeTimedOut(),
	}
	if current := e.catalog.Load(); current != nil {
		request.SettingsVersion = current.version
	}
	for name, p := range e.pools {
		if e.directory.owners[name] == address {
			request.Pools = append(request.Pools, e.newPoolReport(p))
		}
	}
	return request
}

// newPoolReport makes the report of one pool.
func (e *Entry) newPoolReport(p *pool) *controlpb.PoolReport {
	set := p.view.Load().set
	// The version is the base's, which deltas continue; reflects is that of
	// the set in use, which may be a later part of it.
	report := &controlpb.PoolReport{
		Pool: p.name, Epoch: p.base.Epoch, Version: p.base.Version, Reflects: set.Reflects,
	}
	for hostName, n := range p.inFlight() {
		report.Hosts = append(report.Hosts, &controlpb.HostUse{
			Host: hostName, InFlight: uint32(max(n, 0)),
			Connections: uint32(max(set.Hosts[hostName].Connections, e.links.Open(hostName))),
		})
	}
	for _, svc := range e.catalog.Load().byPool[p.name] {
		report.Services = append(report.Services, svc.demand.message(svc.contract.Service))
	}
	return report
}

// applyReply takes in a control process's reply.
func (e *Entry) applyReply(reply *controlpb.ExchangeReply, began time.Duration) {
	if e.adopter.Version() > 0 {
		e.adoptSettings()
	}
	e.adoptDirectory(directoryOf(reply))
	for _, a := range reply.Pools {
		e.adoptAssignment(a, began)
	}
	for _, name := range reply.Confirmed {
		p := e.pool(name)
		e.useAssignment(p, p.base, began)
	}
}

// adoptSettings publishes the settings in force to traffic.
func (e *Entry) adoptSettings() {
	current := e.adopter.Current()
	if old := e.catalog.Load(); old != nil && old.version >= current.Version {
		return
	}
	e.catalog.Store(e.newCatalog(current.Version, current.Value))
}

// adoptAssignment takes in an assignment that is newer than the one in use.
func (e *Entry) adoptAssignment(a *controlpb.PoolAssignment, began time.Duration) {
	p := e.pool(a.Pool)
	if next, ok := p.base.Apply(a); ok {
		e.useAssignment(p, next, began)
	}
}

// useAssignment routes by what the pool's owner said in a call that began at a
// time, if that gives a right to.
func (e *Entry) useAssignment(p *pool, set *assignment.Set, began time.Duration) {
	version := permit.AssignmentVersion{Epoch: set.Epoch, Version: set.Reflects}
	grant := p.permit.OfferFromOwner(began, e.elapsed(), version)
	if grant == nil {
		return
	}
	p.base = set
	e.publish(p, set, grant)
}

// publish makes traffic route by the set, unless it does already.
func (e *Entry) publish(p *pool, set *assignment.Set, grant *permit.Grant) {
	if view := p.view.Load(); view.set == set && view.grant == grant {
		return
	}
	p.publish(e.place, set, grant)
	e.resizeLinks()
}

// resizeLinks gives the links the shares of all pools.
func (e *Entry) resizeLinks() {
	var shares []link.Share
	for _, p := range e.pools {
		shares = append(shares, p.shares()...)
	}
	e.links.Resize(shares)
}

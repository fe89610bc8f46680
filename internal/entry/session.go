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
	// exchangeWait is how long a control process may wait for a change before it
	// replies to an exchange.
	exchangeWait = time.Second
	// exchangeTimeout bounds a whole exchange; a connection without a reply for
	// longer is closed.
	exchangeTimeout = exchangeWait + time.Second
	// exchangeBackoff is the delay after a failed exchange.
	exchangeBackoff = 200 * time.Millisecond
	// sessionInterval is the time between two updates of the set of sessions.
	sessionInterval = 200 * time.Millisecond
)

// manageSessions maintains a session with each owner and one with the home
// control process until ctx ends. The home is the first of the configured
// control processes, nearest first, that replies.
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

// adjustSessions starts and stops sessions so that they match wantedSessions.
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
// process. The home sends the directory and the settings even while no owner
// replies.
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

// isHome reports whether the address is that of the home control process.
func (e *Entry) isHome(address string) bool {
	return len(e.control) > 0 && e.control[e.home] == address
}

// switchHome makes the next control process the home if address is that of the
// current home.
func (e *Entry) switchHome(address string) {
	if e.isHome(address) {
		e.home = (e.home + 1) % len(e.control)
	}
}

// session repeats exchanges with one control process until ctx ends.
func (e *Entry) session(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if err := e.exchange(ctx, address); err != nil {
			e.exec.Do(ctx, func() { e.switchHome(address) })
			_ = ctxtime.Sleep(ctx, exchangeBackoff)
		}
	}
}

// exchange sends a report to one control process and applies its reply.
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

// newExchangeRequest returns the next request to a control process.
func (e *Entry) newExchangeRequest(address string) *controlpb.ExchangeRequest {
	request := &controlpb.ExchangeRequest{
		Entry:            e.name,
		Incarnation:      e.incarnation,
		DirectoryVersion: e.directory.version,
		WaitMs:           uint32(exchangeWait.Milliseconds()),
		// Only the home sends settings. While no home replies, the owners, which
		// may have been found in the table, send them too.
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

// newPoolReport returns the report about one pool.
func (e *Entry) newPoolReport(p *pool) *controlpb.PoolReport {
	set := p.view.Load().set
	// Version is that of base, to which the owner's deltas apply; Reflects is
	// that of the set in use, which may be a newer part of it.
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

// applyReply applies the reply to an exchange that began at the given time.
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

// adoptSettings publishes the settings in force to request handling.
func (e *Entry) adoptSettings() {
	current := e.adopter.Current()
	if old := e.catalog.Load(); old != nil && old.version >= current.Version {
		return
	}
	e.catalog.Store(e.newCatalog(current.Version, current.Value))
}

// adoptAssignment applies an assignment if it is newer than the one in use.
func (e *Entry) adoptAssignment(a *controlpb.PoolAssignment, began time.Duration) {
	p := e.pool(a.Pool)
	if next, ok := p.base.Apply(a); ok {
		e.useAssignment(p, next, began)
	}
}

// useAssignment routes by the assignment that the pool's owner sent or
// confirmed in a call which began at the given time, if the permit grants it.
func (e *Entry) useAssignment(p *pool, set *assignment.Set, began time.Duration) {
	version := permit.AssignmentVersion{Epoch: set.Epoch, Version: set.Reflects}
	grant := p.permit.OfferFromOwner(began, e.elapsed(), version)
	if grant == nil {
		return
	}
	p.base = set
	e.publish(p, set, grant)
}

// publish makes requests route by the set, unless they already do.
func (e *Entry) publish(p *pool, set *assignment.Set, grant *permit.Grant) {
	if view := p.view.Load(); view.set == set && view.grant == grant {
		return
	}
	p.publish(e.place, set, grant)
	e.resizeLinks()
}

// resizeLinks sets the connection limits of the hosts from the shares of all
// pools.
func (e *Entry) resizeLinks() {
	var shares []link.Share
	for _, p := range e.pools {
		shares = append(shares, p.shares()...)
	}
	e.links.Resize(shares)
}

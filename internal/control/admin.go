package control

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// applyTimeout bounds the acceptance of a settings change, including the
	// time to resolve a commit whose outcome is unknown.
	applyTimeout = 10 * time.Second
	// peerTimeout bounds a call to another control process.
	peerTimeout = 2 * time.Second
)

// RegisterAdmin registers the routes of the administration API.
func (m *Manager) RegisterAdmin(e *echo.Echo) {
	e.GET(adminapi.PathSettings, m.getSettings)
	e.POST(adminapi.PathSettings, m.applySettings)
	e.GET(adminapi.PathInstances, m.getInstances)
	e.GET(adminapi.PathHosts, m.getHosts)
	e.GET(adminapi.PathStatus, m.getStatus)
	e.GET(adminapi.PathMaintenance, m.getMaintenance)
	e.GET(adminapi.PathReport, m.getReport)
	m.registerJobs(e)
}

// problem writes an error response.
func problem(c echo.Context, status int, err error) error {
	return c.JSON(status, adminapi.Problem{Message: err.Error()})
}

// getSettings returns the accepted settings, which may be newer than those in
// force in this process.
func (m *Manager) getSettings(c echo.Context) error {
	record, tree, err := m.store.Current(c.Request().Context())
	if err != nil {
		return problem(c, http.StatusServiceUnavailable, err)
	}
	return c.JSON(http.StatusOK, adminapi.Settings{
		Version: record.Version, ChangeID: record.ChangeID, YAML: string(tree),
	})
}

// applySettings validates and accepts a settings tree. It reports success only
// after the commit.
func (m *Manager) applySettings(c echo.Context) error {
	var req adminapi.ApplyRequest
	if err := c.Bind(&req); err != nil {
		return problem(c, http.StatusBadRequest, err)
	}
	if err := m.checkChange(c.Request().Context(), req); err != nil {
		return m.refuseChange(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	version, err := m.store.Accept(ctx, []byte(req.YAML), req.ExpectedVersion, req.ChangeID)
	if err != nil {
		return m.refuseChange(c, err)
	}
	if err := m.adopter.Poll(ctx); err != nil {
		m.log.Debug("failed to poll the accepted settings", zap.Error(err))
	}
	go m.announce(version, []byte(req.YAML))
	go m.trackRollout(version, m.now())
	return c.JSON(http.StatusOK, adminapi.ApplyReply{Version: version})
}

// refuseChange writes the error response for a change that was not accepted or
// whose outcome is unknown.
func (m *Manager) refuseChange(c echo.Context, err error) error {
	event.SettingsRefused.Log(m.log, zap.Error(err))
	var conflict *rollout.ConflictError
	var faults settings.Errors
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, adminapi.Problem{
			Message: err.Error(), CurrentVersion: conflict.Current, Settled: !conflict.BeyondHistory,
		})
	case errors.As(err, &faults):
		return c.JSON(http.StatusUnprocessableEntity, adminapi.Problem{Message: err.Error(), Errors: faults})
	case errors.Is(err, platform.ErrUnknown):
		return problem(c, http.StatusGatewayTimeout, err)
	case errors.Is(err, rollout.ErrChangeReused):
		return problem(c, http.StatusBadRequest, err)
	}
	return problem(c, http.StatusServiceUnavailable, err)
}

// checkChange validates the tree of a change by itself and against the hosts
// and jobs that exist. It scans the host rows in the table rather than using
// this process's last snapshot, because they decide whether the change would
// strand hosts.
func (m *Manager) checkChange(ctx context.Context, req adminapi.ApplyRequest) error {
	tree, err := settings.Parse(req.File, []byte(req.YAML))
	if err != nil {
		return err
	}
	next, err := tree.Effective()
	if err != nil {
		return err
	}
	current := m.adopter.Current()
	if current == nil {
		return nil
	}
	rows, err := scanHosts(ctx, m.platform.Table, 0)
	if err != nil {
		return err
	}
	state := settings.State{PoolHosts: map[string]int{}, PoolJobs: map[string]int{}, TeamJobs: map[string]int{}}
	for _, row := range rows {
		state.PoolHosts[row.Pool]++
		if row.MoveTo != "" {
			state.PoolHosts[row.MoveTo]++
		}
	}
	if err := m.countJobs(ctx, &state); err != nil {
		return err
	}
	return settings.CheckChange(current.Value, next, state)
}

// announce pushes an accepted version to the other control processes, which
// pass it to the entries that exchange with them. A process that misses the
// push finds the version when it polls the settings.
func (m *Manager) announce(version uint64, tree []byte) {
	packed := rollout.Pack(tree)
	for _, member := range m.members.Snapshot().Live() {
		if member.Name == m.name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			err := m.rpc.Call(ctx, member.Address, "control: announce", func(conn drpc.Conn) error {
				_, err := controlpb.NewDRPCControlClient(conn).Announce(ctx, &controlpb.AnnounceRequest{
					SettingsVersion: version, Settings: packed,
				})
				return err
			})
			if err != nil {
				m.log.Debug("failed to announce settings to a control process", zap.Error(err))
			}
		}()
	}
}

// getInstances returns all control processes and entries with their settings
// versions.
func (m *Manager) getInstances(c echo.Context) error {
	instances, err := m.allInstances(c.Request().Context())
	if err != nil {
		return problem(c, http.StatusServiceUnavailable, err)
	}
	return c.JSON(http.StatusOK, instances)
}

// allInstances queries all live control processes for the entries that exchange
// with them. An entry that is registered but does not exchange is listed with
// version 0.
func (m *Manager) allInstances(ctx context.Context) (*adminapi.Instances, error) {
	record, _, err := m.store.Current(ctx)
	if err != nil {
		return nil, err
	}
	registered, err := m.registry.Entries(ctx)
	if err != nil {
		return nil, err
	}
	all := &adminapi.Instances{SettingsVersion: record.Version}
	replies := m.queryMembers(ctx)
	versions := map[string]uint64{}
	for _, reply := range replies {
		versions[reply.Control] = reply.SettingsVersion
	}
	for _, member := range m.members.Snapshot().Live() {
		all.Instances = append(all.Instances, adminapi.Instance{
			Name: member.Name, Kind: adminapi.KindControl,
			SettingsVersion: max(member.SettingsVersion, versions[member.Name]),
		})
	}
	seen := seenEntries(replies)
	for _, e := range registered {
		instance := adminapi.Instance{Name: e.Name, Kind: adminapi.KindEntry, SeenMSAgo: -1}
		if s, ok := seen[entryID{e.Name, e.Incarnation}]; ok {
			instance.SettingsVersion = s.SettingsVersion
			instance.SeenMSAgo = int64(s.SeenMs)
		}
		all.Instances = append(all.Instances, instance)
	}
	return all, nil
}

// seenEntries merges the entries reported by control processes. The most recent
// report of each entry wins.
func seenEntries(replies []*controlpb.DemandReply) map[entryID]*controlpb.Instance {
	seen := map[entryID]*controlpb.Instance{}
	for _, reply := range replies {
		for _, i := range reply.Instances {
			h := entryID{i.Name, i.Incarnation}
			if old := seen[h]; old == nil || old.SeenMs > i.SeenMs {
				seen[h] = i
			}
		}
	}
	return seen
}

// queryMembers returns the demand replies of all live control processes that
// respond within peerTimeout, including this one.
func (m *Manager) queryMembers(ctx context.Context) []*controlpb.DemandReply {
	var addresses []string
	for _, member := range m.members.Snapshot().Live() {
		addresses = append(addresses, member.Address)
	}
	return m.queryDemand(ctx, addresses, &controlpb.DemandRequest{})
}

// queryOwners returns the pool demand reported by the shard owners that respond
// within peerTimeout.
func (m *Manager) queryOwners(ctx context.Context) []*controlpb.DemandReply {
	var addresses []string
	for _, owner := range m.leases.Directory().Owners {
		if owner.Address != "" {
			addresses = append(addresses, owner.Address)
		}
	}
	slices.Sort(addresses)
	return m.queryDemand(ctx, slices.Compact(addresses), &controlpb.DemandRequest{PoolsOnly: true})
}

// queryDemand sends a request to several control processes in parallel and
// returns the replies received within peerTimeout.
func (m *Manager) queryDemand(ctx context.Context, addresses []string, req *controlpb.DemandRequest) []*controlpb.DemandReply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	replies := make(chan *controlpb.DemandReply, len(addresses))
	for _, address := range addresses {
		go func() { replies <- m.queryDemandOf(ctx, address, req) }()
	}
	var list []*controlpb.DemandReply
	for range addresses {
		if reply := <-replies; reply != nil {
			list = append(list, reply)
		}
	}
	return list
}

// queryDemandOf returns the demand reply of one process, or nil if the call
// fails.
func (m *Manager) queryDemandOf(ctx context.Context, address string, req *controlpb.DemandRequest) *controlpb.DemandReply {
	var reply *controlpb.DemandReply
	err := m.rpc.Call(ctx, address, "control: demand", func(conn drpc.Conn) error {
		var err error
		reply, err = controlpb.NewDRPCControlClient(conn).Demand(ctx, req)
		return err
	})
	if err != nil {
		m.log.Debug("failed to query demand of a control process", zap.Error(err))
		return nil
	}
	return reply
}

// getHosts returns all hosts that have a row, sorted by name.
func (m *Manager) getHosts(c echo.Context) error {
	var hosts adminapi.Hosts
	m.refresh(c.Request().Context())
	ok := m.exec.Do(c.Request().Context(), func() {
		for name, row := range m.fleet.rows {
			h := adminapi.Host{Row: row.Row}
			if listed, ok := m.fleet.listedHost(name); ok {
				h.Host = listed.Host
				h.Listed = string(listed.State)
			}
			hosts.Hosts = append(hosts.Hosts, h)
		}
	})
	if !ok {
		return problem(c, http.StatusServiceUnavailable, errStopping)
	}
	sort.Slice(hosts.Hosts, func(i, j int) bool { return hosts.Hosts[i].Row.Host < hosts.Hosts[j].Row.Host })
	return c.JSON(http.StatusOK, hosts)
}

package control

import (
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/maintenance"
)

// errNoOwner means that no live owner of the spare pool is known.
var errNoOwner = errors.New("no live control process owns the spare pool")

// spareOwner returns a client of the process that owns the spare pool, or nil
// if this process owns it. A request that was already forwarded is not
// forwarded again.
func (m *Manager) spareOwner(c echo.Context) (*adminapi.Client, error) {
	current := m.adopter.Current()
	if current == nil {
		return nil, errNoSettings
	}
	owner, ok := m.leases.Directory().Lookup(current.Value.Spare)
	if !ok {
		return nil, errNoOwner
	}
	if owner.Owner == m.name {
		return nil, nil
	}
	if c.Request().Header.Get(adminapi.ForwardedHeader) != "" {
		return nil, errNoOwner
	}
	for _, member := range m.members.Snapshot().Live() {
		if member.Name == owner.Owner {
			return adminapi.NewForwarder(member.AdminAddress), nil
		}
	}
	return nil, errNoOwner
}

// getMaintenance returns the progress of maintenance. Only the owner of the
// spare pool has it, so other processes forward the request.
func (m *Manager) getMaintenance(c echo.Context) error {
	owner, err := m.spareOwner(c)
	if err != nil {
		return problem(c, http.StatusServiceUnavailable, err)
	}
	if owner != nil {
		answer, err := owner.Maintenance(c.Request().Context())
		if err != nil {
			return problem(c, http.StatusServiceUnavailable, err)
		}
		return c.JSON(http.StatusOK, answer)
	}
	var answer adminapi.Maintenance
	ok := m.exec.Do(c.Request().Context(), func() {
		for name, p := range m.waves.progress {
			answer.Pools = append(answer.Pools, m.maintenanceOf(name, p))
		}
	})
	if !ok {
		return problem(c, http.StatusServiceUnavailable, errStopping)
	}
	sort.Slice(answer.Pools, func(i, j int) bool { return answer.Pools[i].Pool < answer.Pools[j].Pool })
	return c.JSON(http.StatusOK, answer)
}

// maintenanceOf returns the maintenance status of one pool.
func (m *Manager) maintenanceOf(name string, p maintenance.Progress) adminapi.PoolMaintenance {
	answer := adminapi.PoolMaintenance{
		Pool: name, State: "idle", Reason: string(p.Waiting), Missing: p.Overdue, Done: p.Done, Total: p.Hosts,
	}
	for hostName, row := range m.fleet.rows {
		if row.Pool == name && row.Purpose == host.ForMaintenance {
			answer.InWave = append(answer.InWave, hostName)
		}
	}
	sort.Strings(answer.InWave)
	if len(answer.InWave) > 0 {
		answer.State = "running"
	}
	if m.waves.paused[name] {
		answer.State = "paused"
	}
	if p.Known {
		answer.EstimateMS = p.Complete.UnixMilli()
	}
	return answer
}

package node

import (
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/estate"
)

// TeamsAPI serves the teams of the configuration in force in egretpitch's own
// administration API.
type TeamsAPI struct{ node *Node }

// NewTeamsAPI returns the teams API of a process.
func NewTeamsAPI(n *Node) *TeamsAPI { return &TeamsAPI{node: n} }

// Register adds the route to e.
func (a *TeamsAPI) Register(e *echo.Echo) { e.GET(adminapi.PathTeams, a.list) }

// list answers with the teams, or 503 before the first configuration.
func (a *TeamsAPI) list(c echo.Context) error {
	catalog := a.node.catalog.Load()
	if catalog == nil {
		return c.JSON(http.StatusServiceUnavailable, adminapi.Problem{Message: refusalReasons[refusedNoConfiguration]})
	}
	answer := teamsOf(catalog)
	answer.AgeMS = -1
	if age, known := a.node.confirmed.age(a.node.Clock.Now()); known {
		answer.AgeMS = age.Milliseconds()
	}
	return c.JSON(http.StatusOK, answer)
}

// teamsOf converts the teams of a catalog.
func teamsOf(catalog *estate.Catalog) *adminapi.Teams {
	answer := &adminapi.Teams{
		Version: catalog.Version, KeysRequired: catalog.RequiresKeys, Problems: catalog.Problems, Teams: []adminapi.Team{},
	}
	for _, q := range catalog.Queues {
		if q.Public {
			answer.PublicQueues = append(answer.PublicQueues, q.Name)
		}
	}
	slices.Sort(answer.PublicQueues)
	for _, name := range slices.Sorted(maps.Keys(catalog.Teams)) {
		t := catalog.Teams[name]
		team := adminapi.Team{
			Name: name, Weight: t.Weight, Processors: t.Quota.Processors, MemoryMB: t.Quota.MemoryMB, Accelerators: t.Quota.Accelerators,
			Keys: []string{},
		}
		for _, key := range t.Keys {
			team.Keys = append(team.Keys, key.Fingerprint())
		}
		answer.Teams = append(answer.Teams, team)
	}
	return answer
}

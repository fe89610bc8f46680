package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/egretpitch/egretpitch/internal/adminapi"
)

const statusHelp = `Shows the settings version, the processes and each pool with its owner, hosts, demand and refusals.

Examples:
  egretpitch status
  egretpitch status --output json`

const hostsHelp = `Lists workers with their pool, phase and place (region, data centre and rack).

Examples:
  egretpitch hosts
  egretpitch hosts --pool kano-ordering
  egretpitch hosts --phase draining --output json`

const maintenanceHelp = `Shows for each pool how many hosts have been maintained in this period, the current wave, why a wave is paused, and when the last host is expected to be done.

Examples:
  egretpitch maintenance
  egretpitch maintenance --output json`

// statusCommand is `status`.
type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	s, err := client.Status(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(s)
	}
	tableState := "reachable"
	if !s.TableReachable {
		tableState = "not reachable"
	}
	err = c.app.printf("estate %s, settings version %d, %d entries, %d controls, table %s\n\n",
		s.Estate, s.SettingsVersion, s.Entries, s.Controls, tableState)
	if err != nil {
		return err
	}
	return c.app.printTable(poolTable(s.Pools))
}

// poolTable returns a table with a row for each pool.
func poolTable(pools []adminapi.PoolStatus) *table {
	t := &table{header: []string{"POOL", "OWNER", "SERVING", "WANTED", "DRAINING", "STOPPED", "LOST",
		"ARRIVED/s", "REFUSED/s", "BUSY SLOTS", "QUEUED"}}
	for _, p := range pools {
		name := p.Pool
		if p.Spare {
			name += " (spare)"
		}
		t.add(name, orDash(p.Owner), strconv.Itoa(p.Serving), strconv.Itoa(p.Wanted), strconv.Itoa(p.Draining),
			strconv.Itoa(p.Stopped), strconv.Itoa(p.Lost), rateText(p.ArrivedPerSecond),
			rateText(p.RefusedPerSecond), rateText(p.BusySlots), strconv.Itoa(p.Queued))
	}
	return t
}

// rateText formats a number with one decimal place.
func rateText(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

// hostsCommand is `hosts`.
type hostsCommand struct {
	app   *app
	Pool  string `long:"pool" value-name:"NAME" description:"only hosts of this pool"`
	Phase string `long:"phase" choice:"serving" choice:"draining" choice:"stopped" choice:"lost" description:"only hosts in this phase"`
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	all, err := client.Hosts(c.app.ctx)
	if err != nil {
		return err
	}
	chosen := &adminapi.Hosts{Hosts: []adminapi.Host{}}
	for _, h := range all.Hosts {
		if (c.Pool == "" || h.Row.Pool == c.Pool) && (c.Phase == "" || string(h.Row.Phase) == c.Phase) {
			chosen.Hosts = append(chosen.Hosts, h)
		}
	}
	if c.app.json() {
		return c.app.printJSON(chosen)
	}
	t := &table{header: []string{"HOST", "POOL", "PHASE", "PURPOSE", "MOVE TO", "LISTED", "IN FLIGHT", "PLACE", "SINCE", "MAINTAINED"}}
	for _, h := range chosen.Hosts {
		place := fmt.Sprintf("%s/%s/%s", h.Region, h.DataCentre, h.Rack)
		t.add(h.Name, orDash(h.Row.Pool), orDash(string(h.Row.Phase)), orDash(string(h.Row.Purpose)), orDash(h.Row.MoveTo),
			orDash(h.Listed), strconv.Itoa(h.InFlight), place, timeText(h.Row.Since), timeText(h.Row.Maintained))
	}
	return c.app.printTable(t)
}

// maintenanceCommand is `maintenance`.
type maintenanceCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *maintenanceCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	m, err := client.Maintenance(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(m)
	}
	t := &table{header: []string{"POOL", "STATE", "DONE", "IN WAVE", "MISSING", "ESTIMATE", "DUE", "REASON"}}
	for _, p := range m.Pools {
		estimate := timeText(p.EstimateMS)
		if p.EstimateMS == 0 {
			estimate = "unknown"
		}
		t.add(p.Pool, p.State, fmt.Sprintf("%d/%d", p.Done, p.Total), orDash(strings.Join(p.InWave, ",")),
			orDash(strings.Join(p.Missing, ",")), estimate, timeText(p.DueMS), orDash(p.Reason))
	}
	return c.app.printTable(t)
}

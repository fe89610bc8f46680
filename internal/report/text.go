package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteJSON writes the report as one JSON document.
func WriteJSON(w io.Writer, r Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables for a terminal.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %s to %s\n\n", r.Estate, stamp(r.From), stamp(r.To))
	writePools(t, r.Pools)
	writeServices(t, r.Pools)
	writeMissing(t, r)
	writeRollouts(t, r.Rollouts)
	return t.Flush()
}

// writePools writes the capacity, cost and absorbed failures of each pool.
func writePools(w io.Writer, pools []PoolReport) {
	fmt.Fprintln(w, "POOL\tSPARE HOST-HOURS\tBUFFER COST\tMOVES\tMOVE COST\tMAINTAINED\tFAILURES ABSORBED\tMEASURED")
	for _, p := range pools {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.2f\t%d\t%d of %d\t%s\n",
			p.Pool, p.formatSum(p.SpareHours), p.formatSum(p.BufferCost), p.Moves, p.MoveCost,
			p.Maintained, p.Absorbed, p.Failures, p.Coverage())
	}
	fmt.Fprintln(w)
}

// writeServices writes the request counts and the spent budget of each service.
func writeServices(w io.Writer, pools []PoolReport) {
	fmt.Fprintln(w, "SERVICE\tPOOL\tASKED\tANSWERED\tBY SPARE\tLATE\tREFUSED\tLOST\tBUDGET SPENT")
	for _, p := range pools {
		for _, s := range p.Services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f\t%d\t%d\t%d\t%s\n",
				s.Service, p.Pool, s.Asked, s.Answered, s.AnsweredBySpare, s.Late, s.Refused, s.Lost, s.Spent())
		}
	}
	fmt.Fprintln(w)
}

// writeMissing writes the times without samples and the number of ignored
// samples.
func writeMissing(w io.Writer, r Report) {
	for _, p := range r.Pools {
		for _, g := range p.Missing {
			fmt.Fprintf(w, "missing: %s from %s to %s\n", p.Pool, stamp(g.From), stamp(g.To))
		}
	}
	if r.Ignored > 0 {
		fmt.Fprintf(w, "ignored: %d samples (given twice, outside the report or of an unknown pool)\n", r.Ignored)
	}
}

// writeRollouts writes how long each change of the settings took.
func writeRollouts(w io.Writer, rollouts []RolloutReport) {
	fmt.Fprintln(w, "\nSETTINGS VERSION\tACCEPTED\tIN FORCE EVERYWHERE AFTER")
	for _, r := range rollouts {
		fmt.Fprintf(w, "%d\t%s\t%s\n", r.Version, stamp(r.Accepted), r.Took())
	}
}

// formatSum formats a sum, or "not measured" for a pool without any sample.
func (p PoolReport) formatSum(sum float64) string {
	if p.Measured == 0 {
		return "not measured"
	}
	return fmt.Sprintf("%.2f", sum)
}

// Coverage returns how many of the intervals have a sample, as text.
func (p PoolReport) Coverage() string {
	return fmt.Sprintf("%d of %d intervals", p.Measured, p.Intervals)
}

// Spent returns the spent fraction of the budget in percent, or "unknown".
func (s ServiceReport) Spent() string {
	if !s.BudgetKnown {
		return "unknown"
	}
	return fmt.Sprintf("%.1f%%", 100*s.BudgetSpent)
}

// Took returns how long a change took, in seconds, or "not complete".
func (r RolloutReport) Took() string {
	if !r.Done {
		return "not complete"
	}
	return fmt.Sprintf("%.1f s", r.Seconds)
}

// stamp formats a time in UTC.
func stamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

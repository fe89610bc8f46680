package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// json reports whether --output selects JSON.
func (a *app) json() bool { return a.options.Output == outputJSON }

// printf writes text to the standard output.
func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.env.Stdout, format, args...)
	return operr.Wrap(err, "command: write output", "")
}

// printJSON writes a value as indented JSON.
func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.env.Stdout)
	enc.SetIndent("", "  ")
	return operr.Wrap(enc.Encode(v), "command: write output", "")
}

// table is a text table.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row.
func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// printTable writes a table with aligned columns.
func (a *app) printTable(t *table) error {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return operr.Wrap(w.Flush(), "command: write output", "")
}

// printError writes an error to the standard error. The errors of a settings
// tree are written without a prefix, one per line, so that each line begins
// with the file name and the line number.
func (a *app) printError(err error) {
	if faults := problemOf(err).Errors; len(faults) > 0 {
		fmt.Fprintln(a.env.Stderr, faults.Error())
		return
	}
	fmt.Fprintf(a.env.Stderr, "%s: %v\n", program, err)
}

// fail prints an error and returns config.ExitFailed. With --output json the
// error goes to the standard output as an adminapi.Problem.
func (a *app) fail(err error) int {
	if !a.json() {
		a.printError(err)
		return config.ExitFailed
	}
	if err := a.printJSON(problemOf(err)); err != nil {
		a.printError(err)
	}
	return config.ExitFailed
}

// problemOf converts an error to the form of the administration API. The errors
// of a settings tree and the current version are kept as fields.
func problemOf(err error) *adminapi.Problem {
	p := &adminapi.Problem{Message: err.Error()}
	var refused *adminapi.StatusError
	var faults settings.Errors
	switch {
	case errors.As(err, &refused):
		p.CurrentVersion, p.Errors = refused.CurrentVersion, refused.Errors
	case errors.As(err, &faults):
		p.Errors = faults
	}
	return p
}

// timeText formats a Unix time in milliseconds as RFC 3339 in UTC, and 0 as "-".
func timeText(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// orDash returns s, or "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/egretpitch/egretpitch/internal/config"
)

const description = `Measures the resource usage of one entry or control process at several sizes
and fits a line through the samples. The programs are taken from the directory
of this one.

Examples:
  go build -o bin ./cmd/... && bin/egretpitch-measure
  bin/egretpitch-measure --series entry-owners --series owner-entries
  bin/egretpitch-measure --list
  bin/egretpitch-measure --size 'role=idle pools=180 hosts=19 services=11 teams=660 members=589 registered=590'
  bin/egretpitch-measure --output json

Exit codes: 0 done, 1 failed, 2 command line refused.`

// options holds the flags of the command.
type options struct {
	Series   []string      `long:"series" value-name:"NAME" description:"series to measure, all if none is named (repeat for each)"`
	Size     []string      `long:"size" value-name:"SCENARIO" description:"measure one scenario in place of series (repeat for each)"`
	List     bool          `long:"list" description:"list the series and end"`
	Window   time.Duration `long:"window" description:"length of each measurement" default:"10s"`
	Binaries string        `long:"bin" value-name:"DIR" description:"folder of the programs, that of this one if not given"`
	Output   string        `long:"output" choice:"markdown" choice:"json" default:"markdown" description:"format of the result"`
}

// Main runs the command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("egretpitch-measure", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return config.ExitFailed
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Fprintln(stdout, err)
			return config.ExitDone
		}
		fmt.Fprintln(stderr, err)
		return config.ExitUsage
	}
	return o.run(ctx, stdout, stderr)
}

// run lists or measures what the flags select and returns the exit code.
func (o *options) run(ctx context.Context, stdout, stderr io.Writer) int {
	if o.List {
		for _, s := range AllSeries() {
			fmt.Fprintf(stdout, "%-16s per %s at %v\n", s.Name, s.Unit, s.sizes)
		}
		for _, d := range AllDecisions() {
			fmt.Fprintf(stdout, "%-16s processor time of one decision\n", d.Name)
		}
		return config.ExitDone
	}
	scenarios, err := parseScenarios(o.Size)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return config.ExitUsage
	}
	if err := o.measure(ctx, scenarios, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, err)
		return config.ExitFailed
	}
	return config.ExitDone
}

// measure measures the scenarios, or if there are none the selected decisions
// and series.
func (o *options) measure(ctx context.Context, scenarios []Scenario, stdout, stderr io.Writer) error {
	if o.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.Binaries = filepath.Dir(self)
	}
	for _, s := range scenarios {
		sample, err := Run(ctx, s, o.Binaries, o.Window)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(stdout).Encode(sample); err != nil {
			return err
		}
	}
	if len(scenarios) > 0 {
		return nil
	}
	return errors.Join(o.measureDecisions(stdout), o.measureSeries(ctx, stdout, stderr))
}

// selected reports whether a series or decision is named by --series. Without
// that flag all are selected.
func (o *options) selected(name string) bool {
	return len(o.Series) == 0 || slices.Contains(o.Series, name)
}

// measureDecisions measures the selected decisions.
func (o *options) measureDecisions(stdout io.Writer) error {
	for _, d := range AllDecisions() {
		if !o.selected(d.Name) {
			continue
		}
		result, err := d.Measure()
		if err != nil {
			return err
		}
		if err := o.write(stdout, result); err != nil {
			return err
		}
	}
	return nil
}

// result is a result that can be written as Markdown and encoded as JSON.
type result interface{ WriteMarkdown(w io.Writer) }

// write writes a result in the format of --output.
func (o *options) write(w io.Writer, r result) error {
	if o.Output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	r.WriteMarkdown(w)
	return nil
}

// measureSeries measures the selected series. It continues after a failed one
// and returns the errors of all.
func (o *options) measureSeries(ctx context.Context, stdout, stderr io.Writer) error {
	var failed error
	for _, s := range AllSeries() {
		if !o.selected(s.Name) {
			continue
		}
		result, err := s.Measure(ctx, o.Binaries, o.Window, func(sample Sample) {
			fmt.Fprintf(stderr, "%s: %+v: %.2f%% of a core, %.0f MiB, %.1f KB/s\n",
				s.Name, sample.Scenario, sample.CorePercent, sample.MemoryMB, sample.KBps)
		})
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("series %s: %w", s.Name, err))
			continue
		}
		failed = errors.Join(failed, o.write(stdout, result))
	}
	return failed
}

// parseScenarios parses scenarios, each a text of words "key=value". A key that is
// missing has the value of a small scenario of the role Idle.
func parseScenarios(texts []string) ([]Scenario, error) {
	var scenarios []Scenario
	for _, text := range texts {
		s := Scenario{Role: Idle, Pools: 2, HostsPerPool: 10, ServicesPerPool: 4}
		fields := map[string]*int{
			"pools": &s.Pools, "hosts": &s.HostsPerPool, "services": &s.ServicesPerPool, "teams": &s.Teams,
			"owners": &s.Owners, "entries": &s.Entries, "members": &s.Members, "registered": &s.Registered,
			"changes": &s.Changes, "listed": &s.Listed,
		}
		for _, word := range strings.Fields(text) {
			key, value, _ := strings.Cut(word, "=")
			if key == "role" {
				s.Role = Role(value)
				continue
			}
			field, ok := fields[key]
			if !ok {
				return nil, fmt.Errorf("unknown size %q in %q", key, text)
			}
			if _, err := fmt.Sscan(value, field); err != nil {
				return nil, fmt.Errorf("size %q: %w", word, err)
			}
		}
		if err := s.validate(); err != nil {
			return nil, fmt.Errorf("size %q: %w", text, err)
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

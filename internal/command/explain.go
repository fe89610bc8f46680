package command

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
)

const explainHelp = `Shows where a request or a job would go now and why, as a process of egretpitch-node sees it: configuration, queue, team, pool and admission; at the owner of the control work also the workers. Nothing is changed, and nothing is sent to workers.

Exit codes: 0 done, also if the request would be refused; 1 failed; 2 command line refused.`

const explainRouteHelp = `Shows where a caller's request to a host and path would go. With --key-file it is explained for the team of the key in the file; the key is neither shown nor sent, only its SHA-256 digest.

Examples:
  egretpitch --server 127.0.0.1:8103 explain route ledger.example /close/
  egretpitch explain route ledger.example /close/ --key-file key.txt --output json

Exit codes: 0 done, also if the request would be refused; 1 failed; 2 command line refused.`

const explainJobHelp = `Shows where a job would go that a caller submits to the queue of the file, which is as for "jobs start". With --key-file it is explained for the team of the key in the file.

Examples:
  egretpitch --server 127.0.0.1:8103 explain job nightly.yaml
  egretpitch explain job nightly.yaml --key-file key.txt --output json

Exit codes: 0 done, also if the job would be refused; 1 failed; 2 command line refused.`

// explainOptions are the flags of the explain commands.
type explainOptions struct {
	app     *app
	KeyFile string `long:"key-file" value-name:"FILE" description:"file that holds the caller's key"`
}

// explainRouteCommand is `explain route`.
type explainRouteCommand struct {
	explainOptions
	Args struct {
		Host string `positional-arg-name:"HOST" required:"yes"`
		Path string `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainRouteCommand) Execute([]string) error {
	if !strings.HasPrefix(c.Args.Path, "/") {
		return &usageError{"bad path " + c.Args.Path + "; allowed: a path that begins with /"}
	}
	return c.explain(&adminapi.ExplainRequest{Host: c.Args.Host, Path: c.Args.Path})
}

// explainJobCommand is `explain job`.
type explainJobCommand struct {
	explainOptions
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainJobCommand) Execute([]string) error {
	spec, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	return c.explain(&adminapi.ExplainRequest{Job: &spec})
}

// explain asks for an explanation and prints it.
func (c *explainOptions) explain(req *adminapi.ExplainRequest) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	if c.KeyFile != "" {
		if req.KeyDigest, err = digestOfFile(c.KeyFile); err != nil {
			return err
		}
	}
	x, err := client.Explain(c.app.ctx, req)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(x)
	}
	return c.app.printf("%s\n", strings.Join(explanationLines(x), "\n"))
}

// digestOfFile returns the SHA-256 digest of the key in a file, in hexadecimal digits.
// White space around the key is no part of it. Errors do not hold the key.
func digestOfFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", operr.Wrap(err, "command: read key", file)
	}
	key := bytes.TrimSpace(data)
	if len(key) == 0 {
		return "", &usageError{file + ": the file holds no key"}
	}
	digest := sha256.Sum256(key)
	return hex.EncodeToString(digest[:]), nil
}

// explanationLines returns the text of an explanation.
func explanationLines(x *adminapi.Explanation) []string {
	lines := []string{configurationText(x.Version, x.AgeMS)}
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if x.Fingerprint != "" {
		add("key: fingerprint %s, team %s", x.Fingerprint, orDash(x.Team))
	}
	if x.Queue == "" {
		add("queue: none, %s", x.NoQueue)
		return lines
	}
	access := "not public"
	if x.Public {
		access = "public"
	}
	add("queue: %s, %s, pool %s", x.Queue, access, x.Pool)
	if x.Refused != "" {
		add("refused: %s", x.Refused)
	}
	if a := x.Admission; a != nil {
		add("admission: %s, %s%s", a.Decision, a.Reason, admissionInputs(a))
	}
	owner := "none known"
	switch {
	case x.Owned:
		owner = x.Owner + " at " + x.OwnerAddress + ", the process that answers"
	case x.Owner != "" && x.OwnerAgeMS >= 0:
		owner = x.Owner + " at " + x.OwnerAddress + ", last seen " + msText(x.OwnerAgeMS) + " ago"
	case x.Owner != "":
		owner = x.Owner + " at " + x.OwnerAddress
	}
	add("owner of the control work: %s", owner)
	if x.Workers == nil {
		add("workers: not shown, %s", x.NoWorkers)
		return lines
	}
	return append(lines, workerLines(x.Workers)...)
}

// admissionInputs returns the text for the inputs of a decision and their age.
func admissionInputs(a *adminapi.ExplainedAdmission) string {
	var text string
	if a.Capacity > 0 {
		text += fmt.Sprintf("; capacity %.4g cores", a.Capacity)
	}
	if a.UsefulMS > 0 {
		text += fmt.Sprintf("; ahead until the last timely start in %s %.4g core-seconds, until the last useful one in %s %.4g, of these %.4g admitted here since",
			msText(a.TimelyMS), a.AheadTimely, msText(a.UsefulMS), a.Ahead, a.Admitted)
	}
	if a.RetryAfterMS > 0 {
		text += "; retry after " + msText(a.RetryAfterMS)
	}
	if a.AgeMS >= 0 {
		text += "; load published for " + msText(a.AgeMS) + " ago"
	}
	return text
}

// workerLines returns the text about the workers of a pool.
func workerLines(w *adminapi.ExplainedWorkers) []string {
	lines := []string{fmt.Sprintf("workers: %d, of which %d are explained; %d steps wait for capacity in the pool; cancellations known as of %s ago, entries of workers as of %s ago",
		w.Total, w.Explained, w.WaitingSteps, msText(w.CancelsAgeMS), msText(w.EntriesAgeMS))}
	if w.Held != "" {
		lines = append(lines, "nothing starts now: "+w.Held)
	}
	for i, s := range w.Steps {
		waits := ""
		if s.Waits {
			waits = " (waits for other steps)"
		}
		lines = append(lines, fmt.Sprintf("step %d%s: would go to %s", i, waits, orDash(strings.Join(s.Chosen, ", "))))
		for _, r := range s.Reasons {
			more := ""
			if r.Count > len(r.Workers) {
				more = ", ..."
			}
			lines = append(lines, fmt.Sprintf("  %d %s: %s%s", r.Count, cmp.Or(r.Reason, "could start it"), strings.Join(r.Workers, ", "), more))
		}
	}
	return lines
}

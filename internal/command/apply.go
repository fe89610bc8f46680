package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
)

const applyHelp = `Puts a tree in force. The change is refused when another version than the expected one is in force, so that two operators don't overwrite each other's changes. With --wait the command ends when every live process has the new version, and prints the name of each process that reaches it.

Examples:
  egretpitch settings apply estate.yaml
  egretpitch settings apply estate.yaml --wait --timeout 30s
  egretpitch settings apply estate.yaml --expect 41`

// pollInterval is the time between two reads of the instances.
const pollInterval = 200 * time.Millisecond

// applyCommand is `settings apply`.
type applyCommand struct {
	app     *app
	Wait    bool          `long:"wait" description:"wait until every live process has the new version"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"how long to wait"`
	Expect  *uint64       `long:"expect" value-name:"VERSION" description:"version the change was made from (default: the one in force)"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// applyResult is the JSON output of the command.
type applyResult struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// InForceMS is the time in milliseconds from the acceptance until every
	// live process has the version. Instances are these processes. Both are
	// set with --wait only.
	InForceMS int64               `json:"in_force_ms,omitempty"`
	Instances []adminapi.Instance `json:"instances,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	_, data, err := readTree(c.Args.File)
	if err != nil {
		return err
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	expected, err := c.expected(client)
	if err != nil {
		return err
	}
	result := applyResult{ChangeID: adminapi.NewChangeID()}
	result.Version, err = client.Apply(c.app.ctx, adminapi.ApplyRequest{
		YAML: string(data), File: c.Args.File, ExpectedVersion: expected, ChangeID: result.ChangeID,
	})
	if err != nil {
		return err
	}
	if !c.app.json() {
		if err := c.app.printf("accepted as version %d (change %s)\n", result.Version, result.ChangeID); err != nil {
			return err
		}
	}
	if c.Wait {
		if err := c.wait(client, &result); err != nil {
			return err
		}
	}
	if c.app.json() {
		return c.app.printJSON(result)
	}
	return nil
}

// expected returns the version that the change is made from: that of --expect,
// or else the version in force.
func (c *applyCommand) expected(client API) (uint64, error) {
	if c.Expect != nil {
		return *c.Expect, nil
	}
	now, err := client.Settings(c.app.ctx)
	if err != nil {
		return 0, err
	}
	return now.Version, nil
}

// wait returns once every live process has the version. It prints each process
// that reaches the version, and returns an error after the timeout.
func (c *applyCommand) wait(client API, result *applyResult) error {
	ctx, cancel := context.WithTimeout(c.app.ctx, c.Timeout)
	defer cancel()
	start := time.Now()
	progress := rolloutProgress{version: result.Version}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		now, err := client.Instances(ctx)
		if err == nil {
			result.Instances = now.Instances
			if err := c.printReached(progress.update(now.Instances)); err != nil {
				return err
			}
			if progress.complete() {
				result.InForceMS = time.Since(start).Milliseconds()
				return c.printComplete(result)
			}
		} else if ctx.Err() == nil {
			// The rollout doesn't depend on this command, so a failed read is
			// retried until the timeout.
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return progress.incompleteError(lastErr)
		case <-ticker.C:
		}
	}
}

// printReached prints the processes that newly have the version.
func (c *applyCommand) printReached(reached []adminapi.Instance) error {
	if c.app.json() {
		return nil
	}
	for _, in := range reached {
		if err := c.app.printf("%s (%s): version %d\n", in.Name, in.Kind, in.SettingsVersion); err != nil {
			return err
		}
	}
	return nil
}

// printComplete prints how long the rollout took.
func (c *applyCommand) printComplete(result *applyResult) error {
	if c.app.json() {
		return nil
	}
	return c.app.printf("in force at all %d processes after %s\n",
		len(result.Instances), time.Duration(result.InForceMS)*time.Millisecond)
}

// rolloutProgress tracks which processes have a settings version.
type rolloutProgress struct {
	version uint64
	// reached holds the names of the processes already printed.
	reached map[string]bool
	// behind are the processes without the version in the last update.
	behind []adminapi.Instance
	// anySeen is set if the last update had any process.
	anySeen bool
}

// update records the instances read last and returns those that newly have the
// version.
func (r *rolloutProgress) update(instances []adminapi.Instance) []adminapi.Instance {
	if r.reached == nil {
		r.reached = map[string]bool{}
	}
	r.anySeen = len(instances) > 0
	r.behind = nil
	var newlyReached []adminapi.Instance
	for _, in := range instances {
		switch {
		case in.SettingsVersion < r.version:
			r.behind = append(r.behind, in)
		case !r.reached[in.Name]:
			r.reached[in.Name] = true
			newlyReached = append(newlyReached, in)
		}
	}
	return newlyReached
}

// complete reports whether the last update had processes and all of them have
// the version.
func (r *rolloutProgress) complete() bool { return r.anySeen && len(r.behind) == 0 }

// incompleteError returns an error that names the processes without the
// version. lastErr is the last failure to read the instances.
func (r *rolloutProgress) incompleteError(lastErr error) error {
	const step = "command: wait for version"
	if !r.anySeen {
		return operr.Errorf(step, "", "version %d is accepted, but no process was seen: %v", r.version, lastErr)
	}
	names := make([]string, len(r.behind))
	for i, in := range r.behind {
		names[i] = fmt.Sprintf("%s (version %d, last seen %dms ago)", in.Name, in.SettingsVersion, in.SeenMSAgo)
		if in.SeenMSAgo < 0 {
			names[i] = in.Name + " (never seen)"
		}
	}
	return operr.Errorf(step, "", "version %d is accepted, but these processes lack it: %s", r.version, strings.Join(names, ", "))
}

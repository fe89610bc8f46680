// Package command implements the egretpitch command line for operators. Its
// commands check, compare, apply and show settings, submit and cancel jobs, and
// show the state of hosts, pools, maintenance and jobs.
package command

import (
	"context"
	"errors"
	"io"
	"net/netip"

	"github.com/jessevdk/go-flags"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
)

// program is the name of the program in help texts and error messages.
const program = "egretpitch"

const programHelp = `Checks and applies the settings of an estate, submits and cancels jobs, and shows the state of the system.

Examples:
  egretpitch settings check estate.yaml
  egretpitch --server 127.0.0.1:7202 settings apply estate.yaml --wait
  EGRETPITCH_SERVER=127.0.0.1:7202 egretpitch status --output json

Exit codes: 0 done, 1 failed or refused, 2 command line refused.`

// API is the part of the administration API that the commands use.
// *adminapi.Client implements it.
type API interface {
	Settings(ctx context.Context) (*adminapi.Settings, error)
	Apply(ctx context.Context, req adminapi.ApplyRequest) (uint64, error)
	Instances(ctx context.Context) (*adminapi.Instances, error)
	Hosts(ctx context.Context) (*adminapi.Hosts, error)
	Maintenance(ctx context.Context) (*adminapi.Maintenance, error)
	Jobs(ctx context.Context) (*adminapi.Jobs, error)
	SubmitJobs(ctx context.Context, jobs []adminapi.JobSpec) (*adminapi.JobsReply, error)
	CancelJobs(ctx context.Context, ids []string) (*adminapi.JobsReply, error)
	Report(ctx context.Context, media string) ([]byte, error)
	Status(ctx context.Context) (*adminapi.Status, error)
	Teams(ctx context.Context) (*adminapi.Teams, error)
	Explain(ctx context.Context, req *adminapi.ExplainRequest) (*adminapi.Explanation, error)
}

// Environment holds the outputs and the API connection of a run of the command
// line.
type Environment struct {
	Stdout, Stderr io.Writer
	// Connect returns the API of the server, given as an IP address and port.
	Connect func(server string) API
}

// options are the global flags, which every command accepts.
type options struct {
	Server  string `long:"server" env:"EGRETPITCH_SERVER" value-name:"IP:PORT" description:"administration address of a control process"`
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Version bool   `long:"version" description:"print the version and end"`
}

// app is the state of one run of the command line.
type app struct {
	ctx     context.Context
	env     Environment
	options options
}

// usageError is an error in the command line that go-flags does not detect. The
// program exits with config.ExitUsage.
type usageError struct{ problem string }

// Error implements the error interface.
func (e *usageError) Error() string { return e.problem }

// Run runs the command line, without the program's name, and returns the exit
// code: config.ExitDone, config.ExitFailed or config.ExitUsage.
func Run(ctx context.Context, args []string, env Environment) int {
	a := &app{ctx: ctx, env: env}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programHelp
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return a.fail(err)
	}
	if err := a.register(parser); err != nil {
		return a.fail(err)
	}
	parser.CommandHandler = a.execute
	// --version needs no command.
	parser.SubcommandsOptional = true
	_, err := parser.ParseArgs(args)
	return a.finish(err)
}

// execute is the parser's command handler. command is nil if the command line
// names no command.
func (a *app) execute(command flags.Commander, rest []string) error {
	switch {
	case a.options.Version:
		return a.printf("%s %s\n", program, config.Version())
	case command == nil && len(rest) == 0:
		return &usageError{"no command; see " + program + " --help"}
	case command == nil:
		return &usageError{"unknown command " + rest[0] + "; see " + program + " --help"}
	case len(rest) > 0:
		return &usageError{"unexpected argument " + rest[0]}
	}
	return command.Execute(rest)
}

// finish prints an error and returns the exit code.
func (a *app) finish(err error) int {
	var fault *flags.Error
	var usage *usageError
	switch {
	case err == nil:
		return config.ExitDone
	case flags.WroteHelp(err):
		if err := a.printf("%s\n", err); err != nil {
			return config.ExitFailed
		}
		return config.ExitDone
	case errors.As(err, &fault), errors.As(err, &usage):
		a.printError(err)
		return config.ExitUsage
	}
	return a.fail(err)
}

// client returns the API of the server named by --server or EGRETPITCH_SERVER.
func (a *app) client() (API, error) {
	if a.options.Server == "" {
		return nil, &usageError{"no server; give --server IP:PORT or set EGRETPITCH_SERVER"}
	}
	if _, err := netip.ParseAddrPort(a.options.Server); err != nil {
		return nil, &usageError{"bad server " + a.options.Server + "; allowed: an IP address and port such as 127.0.0.1:7202"}
	}
	return a.env.Connect(a.options.Server), nil
}

// register adds all commands.
func (a *app) register(parser *flags.Parser) error {
	group, err := parser.AddCommand("settings", "Check, compare, apply and show settings", settingsHelp, &struct{}{})
	if err != nil {
		return err
	}
	jobs, err := parser.AddCommand("jobs", "List, submit and cancel jobs", jobsHelp, &struct{}{})
	if err != nil {
		return err
	}
	explain, err := parser.AddCommand("explain", "Show where a request or a job would go, and why", explainHelp, &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		parent      *flags.Command
		name, short string
		help        string
		data        flags.Commander
	}{
		{group, "check", "Check a settings tree", checkHelp, &checkCommand{app: a}},
		{group, "diff", "Show the effects of a settings change", diffHelp, &diffCommand{app: a}},
		{group, "apply", "Put a settings tree in force", applyHelp, &applyCommand{app: a}},
		{group, "show", "Show settings", showHelp, &showCommand{app: a}},
		{parser.Command, "status", "Show a summary of the estate", statusHelp, &statusCommand{app: a}},
		{parser.Command, "hosts", "List workers with pool and phase", hostsHelp, &hostsCommand{app: a}},
		{parser.Command, "maintenance", "Show the progress of maintenance", maintenanceHelp, &maintenanceCommand{app: a}},
		{parser.Command, "teams", "List teams with weight, quota and key fingerprints", teamsHelp, &teamsCommand{app: a}},
		{jobs, "list", "List jobs", jobsListHelp, &jobsListCommand{app: a}},
		{jobs, "submit", "Submit a job", jobsSubmitHelp, &jobsSubmitCommand{app: a}},
		{jobs, "start", "Submit a job of several tasks from a file", jobsStartHelp, &jobsStartCommand{app: a}},
		{jobs, "pending", "Count pending jobs by queue", jobsPendingHelp, &jobsPendingCommand{app: a}},
		{jobs, "cancel", "Cancel jobs", jobsCancelHelp, &jobsCancelCommand{app: a}},
		{explain, "route", "Show where a request would go", explainRouteHelp, &explainRouteCommand{explainOptions: explainOptions{app: a}}},
		{explain, "job", "Show where a job would go", explainJobHelp, &explainJobCommand{explainOptions: explainOptions{app: a}}},
		{parser.Command, "report", "Show the capacity report", reportHelp, &reportCommand{app: a}},
	} {
		if _, err := c.parent.AddCommand(c.name, c.short, c.help, c.data); err != nil {
			return err
		}
	}
	return nil
}

package config

import (
	"errors"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// defaultLogLevel is the log level of a process without one in its settings.
const defaultLogLevel = "info"

// generalFlags are the flags that are not settings.
type generalFlags struct {
	Config  string `long:"config" value-name:"FILE" description:"YAML file with the settings; flags go over it"`
	Version bool   `long:"version" description:"print the version and end"`
}

const entryExamples = `
Examples:
  egretpitch-entry --config /etc/egretpitch/entry.yaml
  egretpitch-entry --config entry.yaml --listen 127.0.0.1:7101 --log-level debug

Exit codes: 0 done, 1 failed, 2 command line or file refused.
`

const controlExamples = `
Examples:
  egretpitch-control --config /etc/egretpitch/control.yaml
  egretpitch-control --config control.yaml --admin-listen 127.0.0.1:7301

Exit codes: 0 done, 1 failed, 2 command line or file refused.
`

// LoadEntry reads the settings of an entry process from args, its command line
// without the program name. Its error is an *EarlyExit for --help and
// --version. Invalid settings are returned together, as strictyaml.Errors.
func LoadEntry(args []string) (*Entry, error) {
	out := &Entry{}
	v, err := load("egretpitch-entry", entryExamples, args, out)
	if err != nil {
		return nil, err
	}
	v.checkProcess(&out.Process)
	v.checkListenAddress("listen", "listen", out.Listen)
	v.checkPeerAddresses("control", "control", out.Control, true)
	v.checkPeerAddresses("peers", "peer", out.Peers, false)
	v.checkURL("table", out.Platform.Table, true)
	v.checkURL("objects", out.Platform.Objects, false)
	v.checkURL("hosts", out.Platform.Hosts, false)
	v.checkURL("workers", out.Platform.Workers, false)
	if err := v.sortedErrors(); err != nil {
		return nil, err
	}
	return out, nil
}

// LoadControl reads the settings of a control process. Its errors are those of
// LoadEntry.
func LoadControl(args []string) (*Control, error) {
	out := &Control{}
	v, err := load("egretpitch-control", controlExamples, args, out)
	if err != nil {
		return nil, err
	}
	v.checkProcess(&out.Process)
	v.checkPeerAddresses("control", "control", out.Control, false)
	v.checkURL("table", out.Platform.Table, true)
	v.checkURL("objects", out.Platform.Objects, true)
	v.checkURL("hosts", out.Platform.Hosts, true)
	v.checkURL("workers", out.Platform.Workers, true)
	if err := v.sortedErrors(); err != nil {
		return nil, err
	}
	return out, nil
}

// load sets out from the file that --config names, if any, and then from the
// flags.
func load(program, examples string, args []string, out any) (*validator, error) {
	var configFlag generalFlags
	configParser := flags.NewNamedParser(program, flags.IgnoreUnknown)
	if _, err := configParser.AddGroup("General", "", &configFlag); err != nil {
		return nil, operr.Wrap(err, "config: define flags", "")
	}
	// This pass only reads --config; the parser below reports errors.
	_, _ = configParser.ParseArgs(args)
	v := &validator{}
	if configFlag.Config != "" {
		data, err := os.ReadFile(configFlag.Config)
		if err != nil {
			return nil, operr.Wrap(err, "config: read file", "")
		}
		v.doc, v.errs = strictyaml.Decode(configFlag.Config, data, out)
		if v.doc == nil {
			return nil, v.errs
		}
	}
	v.flags = flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if err := v.parse(args, out, examples); err != nil {
		return nil, err
	}
	v.decodeErrors = len(v.errs)
	return v, nil
}

// parse parses the flags into out, over the values from the file.
func (v *validator) parse(args []string, out any, examples string) error {
	var general generalFlags
	if _, err := v.flags.AddGroup("General", "", &general); err != nil {
		return operr.Wrap(err, "config: define flags", "")
	}
	if _, err := v.flags.AddGroup("Settings", "", out); err != nil {
		return operr.Wrap(err, "config: define flags", "")
	}
	rest, err := v.flags.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case flags.WroteHelp(err):
		return &EarlyExit{Text: strings.TrimSuffix(err.Error(), "\n") + "\n" + examples}
	case general.Version:
		return &EarlyExit{Text: v.flags.Name + " " + Version() + "\n"}
	case errors.As(err, &flagErr):
		v.errs = append(v.errs, strictyaml.Error{File: commandLine, Problem: flagErr.Message})
	case err != nil:
		return operr.Wrap(err, "config: parse flags", "")
	case len(rest) > 0:
		v.errs = append(v.errs, strictyaml.Error{File: commandLine, Problem: "unexpected argument " + rest[0] + "; only flags are allowed"})
	}
	return nil
}

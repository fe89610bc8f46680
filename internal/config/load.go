package config

import (
	"errors"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// defaultLogLevel is the log level of a process that sets none.
const defaultLogLevel = "info"

// common are the flags that are not settings.
type common struct {
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

// LoadEntry reads the settings of an entry process from its command line
// without the program's name. Its error is a *Stop for --help and --version,
// and else holds every fault at once as strictyaml.Errors.
func LoadEntry(args []string) (*Entry, error) {
	out := &Entry{}
	src, err := load("egretpitch-entry", entryExamples, args, out)
	if err != nil {
		return nil, err
	}
	src.process(&out.Process)
	src.listenAddress("listen", "listen", out.Listen)
	src.addresses("control", "control", out.Control, true)
	src.addresses("peers", "peer", out.Peers, false)
	src.url("table", out.Platform.Table, true)
	src.url("objects", out.Platform.Objects, false)
	src.url("hosts", out.Platform.Hosts, false)
	src.url("workers", out.Platform.Workers, false)
	if err := src.faults(); err != nil {
		return nil, err
	}
	return out, nil
}

// LoadControl reads the settings of a control process as LoadEntry does for
// an entry.
func LoadControl(args []string) (*Control, error) {
	out := &Control{}
	src, err := load("egretpitch-control", controlExamples, args, out)
	if err != nil {
		return nil, err
	}
	src.process(&out.Process)
	src.addresses("control", "control", out.Control, false)
	src.url("table", out.Platform.Table, true)
	src.url("objects", out.Platform.Objects, true)
	src.url("hosts", out.Platform.Hosts, true)
	src.url("workers", out.Platform.Workers, true)
	if err := src.faults(); err != nil {
		return nil, err
	}
	return out, nil
}

// load fills out from the file that --config names and then from the flags.
func load(program, examples string, args []string, out any) (*source, error) {
	var early common
	first := flags.NewNamedParser(program, flags.IgnoreUnknown)
	if _, err := first.AddGroup("General", "", &early); err != nil {
		return nil, operr.Wrap(err, "config: define flags", "")
	}
	// The first pass only looks for --config: the second reports faults.
	_, _ = first.ParseArgs(args)
	src := &source{}
	if early.Config != "" {
		data, err := os.ReadFile(early.Config)
		if err != nil {
			return nil, operr.Wrap(err, "config: read file", "")
		}
		src.doc, src.errs = strictyaml.Decode(early.Config, data, out)
		if src.doc == nil {
			return nil, src.errs
		}
	}
	src.flags = flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if err := src.parse(args, out, examples); err != nil {
		return nil, err
	}
	src.decoding = len(src.errs)
	return src, nil
}

// parse sets the flags over what the file gave.
func (s *source) parse(args []string, out any, examples string) error {
	var general common
	if _, err := s.flags.AddGroup("General", "", &general); err != nil {
		return operr.Wrap(err, "config: define flags", "")
	}
	if _, err := s.flags.AddGroup("Settings", "", out); err != nil {
		return operr.Wrap(err, "config: define flags", "")
	}
	rest, err := s.flags.ParseArgs(args)
	var fault *flags.Error
	switch {
	case flags.WroteHelp(err):
		return &EarlyExit{Text: strings.TrimSuffix(err.Error(), "\n") + "\n" + examples}
	case general.Version:
		return &EarlyExit{Text: s.flags.Name + " " + Version() + "\n"}
	case errors.As(err, &fault):
		s.errs = append(s.errs, strictyaml.Error{File: commandLine, Problem: fault.Message})
	case err != nil:
		return operr.Wrap(err, "config: parse flags", "")
	case len(rest) > 0:
		s.errs = append(s.errs, strictyaml.Error{File: commandLine, Problem: "unexpected argument " + rest[0] + "; only flags are allowed"})
	}
	return nil
}

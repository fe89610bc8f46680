package config

import (
	"net/netip"
	"net/url"
	"slices"

	"github.com/jessevdk/go-flags"

	"github.com/egretpitch/egretpitch/internal/naming"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// commandLine replaces the file name in errors of flags.
const commandLine = "command line"

// Ranges of the limits. An idle process takes some 20 MiB and 20 descriptors.
const (
	minMemoryMB, maxMemoryMB               = 64, 1 << 22
	minFileDescriptors, maxFileDescriptors = 256, 1 << 20
)

// logLevels are the allowed log levels.
var logLevels = []string{"debug", "info", "warn", "error"}

// validator checks settings and collects their errors. It reports each with its
// origin: the position in the file, or the flag.
type validator struct {
	// doc is the settings file, nil without --config.
	doc   *strictyaml.Document
	flags *flags.Parser
	errs  strictyaml.Errors
	// decodeErrors is the number of errors found while reading the file and the
	// flags, before the checks.
	decodeErrors int
}

// sortedErrors returns all errors in the order of their positions, or nil.
func (v *validator) sortedErrors() error {
	v.errs.Sort()
	return v.errs.Err()
}

// errorf records an error of a value: at the flag if it is set or there is no
// file, and else at the path in the file.
func (v *validator) errorf(path *strictyaml.Path, flag, format string, args ...any) {
	e := v.doc.Errorf(path, format, args...)
	if o := v.flags.FindOptionByLongName(flag); v.doc == nil || (o != nil && o.IsSet()) {
		e.File, e.Line, e.Column, e.Path = commandLine, 0, 0, "--"+flag
	}
	for _, decodeErr := range v.errs[:v.decodeErrors] {
		// A value that could not be decoded is not reported as missing too.
		if decodeErr.File == e.File && decodeErr.Path == e.Path {
			return
		}
	}
	v.errs = append(v.errs, e)
}

// checkProcess checks the settings that every process has, and sets their
// defaults.
func (v *validator) checkProcess(p *Process) {
	v.checkName("name", p.Name)
	v.checkName("region", p.Region)
	v.checkName("datacentre", p.DataCentre)
	v.checkName("rack", p.Rack)
	v.checkListenAddress("rpc_listen", "rpc-listen", p.RPCListen)
	v.checkListenAddress("admin_listen", "admin-listen", p.AdminListen)
	v.checkLimit("memory_mb", "memory-mb", p.Limits.MemoryMB, minMemoryMB, maxMemoryMB)
	v.checkLimit("file_descriptors", "file-descriptors", p.Limits.FileDescriptors, minFileDescriptors, maxFileDescriptors)
	if p.LogLevel == "" {
		p.LogLevel = defaultLogLevel
	}
	if !slices.Contains(logLevels, p.LogLevel) {
		v.errorf(key("log_level"), "log-level", "unknown level %q; allowed: debug, info, warn, error", p.LogLevel)
	}
}

// checkLimit checks a limit, of which 0 stands for the default.
func (v *validator) checkLimit(k, flag string, value, least, most int) {
	if value != 0 && (value < least || value > most) {
		v.errorf(key("limits").Key(k), "limits."+flag, "%d is out of range; allowed: %d to %d", value, least, most)
	}
}

// checkName checks a name whose key k is also its flag.
func (v *validator) checkName(k, value string) {
	switch {
	case value == "":
		v.errorf(key(k), k, "missing; give a name of %s", naming.Rule)
	case !naming.Valid(value):
		v.errorf(key(k), k, "%q is not allowed; allowed: %s", value, naming.Rule)
	}
}

// checkListenAddress checks an address to listen on; port 0 stands for any free
// port.
func (v *validator) checkListenAddress(k, flag, value string) {
	if value == "" {
		v.errorf(key(k), flag, "missing; give an IP address and port such as 127.0.0.1:7100")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.errorf(key(k), flag, "bad address %q; allowed: an IP address and port such as 127.0.0.1:7100", value)
	}
}

// checkPeerAddresses checks the addresses of other processes, which need a
// specific IP address and port.
func (v *validator) checkPeerAddresses(k, flag string, values []string, required bool) {
	if required && len(values) == 0 {
		v.errorf(key(k), flag, "missing; list at least one IP address and port such as 127.0.0.1:7200")
	}
	for i, address := range values {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			v.errorf(key(k).Item(i), flag, "bad address %q; allowed: an IP address and port such as 127.0.0.1:7200", address)
		}
	}
}

// checkURL checks the URL of one of the platform's services. Its host must be
// an IP address.
func (v *validator) checkURL(k, value string, required bool) {
	at, flag := key("platform").Key(k), "platform."+k
	if value == "" {
		if required {
			v.errorf(at, flag, "missing; give a URL such as http://127.0.0.1:7000")
		}
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		v.errorf(at, flag, "bad URL %q; allowed: http or https with an IP address, such as http://127.0.0.1:7000", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		v.errorf(at, flag, "bad host %q in URL; allowed: an IP address, since processes use no name service", u.Hostname())
	}
}

// key returns the path of a top-level key.
func key(name string) *strictyaml.Path {
	var root *strictyaml.Path
	return root.Key(name)
}

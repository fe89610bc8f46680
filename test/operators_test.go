package test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
)

// smallTree is the settings file of most tests.
const smallTree = "testdata/small.yaml"

// changedTree writes a copy of smallTree with the first occurrence of old
// replaced, and returns its path.
func changedTree(t *testing.T, old, replacement string) string {
	t.Helper()
	data, err := os.ReadFile(smallTree)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("the settings of smallTree do not contain %q", old)
	}
	file := filepath.Join(t.TempDir(), "changed.yaml")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// killControls kills all control processes at once with SIGKILL.
func (f *fleet) killControls() {
	f.t.Helper()
	for _, c := range f.controls {
		c.signal(f.t, syscall.SIGKILL)
	}
	for _, c := range f.controls {
		_ = c.cmd.Wait() // a killed process ends with an error
	}
	f.controls = nil
}

// replaceControls starts controls with other names at the addresses that entries
// are configured with, and makes the first one the operators' server.
func (f *fleet) replaceControls(names ...string) {
	f.t.Helper()
	for i, name := range names {
		f.startControl(name, f.rpcAddresses, "--rpc-listen", f.rpcAddresses[i])
	}
	f.admin = f.controls[0].admin(f.t)
}

// startControlsElsewhere starts controls with other names at addresses that
// entries are not configured with, and makes the first one the operators'
// server.
func (f *fleet) startControlsElsewhere(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.startControl(name, nil)
	}
	f.admin = f.controls[0].admin(f.t)
}

// settings waits until a control returns the accepted settings, and returns
// them.
func (f *fleet) settings() *adminapi.Settings {
	f.t.Helper()
	var now *adminapi.Settings
	eventually(f.t, "settings are returned", func() bool {
		var err error
		now, err = adminapi.NewClient(f.admin).Settings(f.t.Context())
		return err == nil
	})
	return now
}

// hostPools waits until all hosts serve and returns the pool of each.
func (f *fleet) hostPools() map[string]string {
	f.t.Helper()
	var hosts *adminapi.Hosts
	eventually(f.t, "all hosts serve", func() bool {
		var err error
		hosts, err = adminapi.NewClient(f.admin).Hosts(f.t.Context())
		return err == nil && len(hosts.Hosts) > 0 && allServing(hosts)
	})
	hostPools := map[string]string{}
	for _, h := range hosts.Hosts {
		hostPools[h.Row.Host] = h.Row.Pool
	}
	return hostPools
}

// allServing reports whether every host is in the phase host.Serving.
func allServing(hosts *adminapi.Hosts) bool {
	for _, h := range hosts.Hosts {
		if h.Row.Phase != host.Serving {
			return false
		}
	}
	return true
}

// wantVersionEverywhere waits until every live process has the given version of
// the settings, and fails the test if one has a higher version.
func (f *fleet) wantVersionEverywhere(version uint64) {
	f.t.Helper()
	eventually(f.t, "all processes have the version in force", func() bool {
		now, err := adminapi.NewClient(f.admin).Instances(f.t.Context())
		if err != nil || len(now.Instances) == 0 {
			return false
		}
		for _, in := range now.Instances {
			if in.SettingsVersion > version {
				f.t.Fatalf("%s is at version %d, which was never accepted", in.Name, in.SettingsVersion)
			}
			if in.SettingsVersion < version {
				return false
			}
		}
		return now.SettingsVersion == version
	})
}

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

const smallTree = "testdata/small.yaml"

// changedTree writes the small tree with one text replaced and returns its
// file.
func changedTree(t *testing.T, old, replacement string) string {
	t.Helper()
	data, err := os.ReadFile(smallTree)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("the small tree lacks %q", old)
	}
	file := filepath.Join(t.TempDir(), "changed.yaml")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// killControls ends all controls at once.
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

// replaceControls starts controls of other names under the addresses that
// entries know, and makes the first the one that operators use.
func (f *fleet) replaceControls(names ...string) {
	f.t.Helper()
	for i, name := range names {
		f.startControl(name, f.rpcAddresses, "--rpc-listen", f.rpcAddresses[i])
	}
	f.admin = f.controls[0].admin(f.t)
}

// startControlsElsewhere starts controls of other names under other addresses, of which
// entries' settings say nothing.
func (f *fleet) startControlsElsewhere(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.startControl(name, nil)
	}
	f.admin = f.controls[0].admin(f.t)
}

// settings returns the accepted settings.
func (f *fleet) settings() *adminapi.Settings {
	f.t.Helper()
	var now *adminapi.Settings
	eventually(f.t, "settings are told", func() bool {
		var err error
		now, err = adminapi.NewClient(f.admin).Settings(f.t.Context())
		return err == nil
	})
	return now
}

// hostPools returns the pool of every host.
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

// allServing reports whether every host serves.
func allServing(hosts *adminapi.Hosts) bool {
	for _, h := range hosts.Hosts {
		if h.Row.Phase != host.Serving {
			return false
		}
	}
	return true
}

// wantVersionEverywhere waits until every live process has a version, and
// fails the test if one has a higher one.
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

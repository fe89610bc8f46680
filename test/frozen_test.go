package test

import (
	"syscall"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
)

// frozenMS is a time without messages in milliseconds: longer than an exchange
// may take, and shorter than the pause after which an entry drops its permit to
// route.
const frozenMS = 8000

// TestFrozenEntryHoldsItsMove guards against a drain that finishes while a
// suspended entry (SIGSTOP) may still route to the host. The drain must wait for
// the entry, however long it sends nothing, and finish once it resumes.
func TestFrozenEntryHoldsItsMove(t *testing.T) {
	t.Parallel()
	f := startFleet(t, smallTree)
	f.hostPools()
	const leaving = "kano-02"
	f.entries[1].signal(t, syscall.SIGSTOP)
	f.put("/listed/"+leaving+"?state=leaving", nil)
	eventually(t, leaving+" is taken out of service", func() bool {
		phase := f.phase(leaving)
		return phase != "" && phase != host.Serving
	})
	eventually(t, "the frozen entry has sent nothing for longer than frozenMS", func() bool {
		if phase := f.phase(leaving); phase != host.Draining && phase != "" {
			t.Fatalf("%s is %s while an entry that may route to it is frozen", leaving, phase)
		}
		return f.sinceSeenMS("entry-2") > frozenMS
	})
	if f.sinceSeenMS("entry-1") > frozenMS {
		t.Error("the other entry sends nothing either, so the test shows nothing")
	}
	f.entries[1].signal(t, syscall.SIGCONT)
	eventually(t, leaving+" is stopped", func() bool { return f.phase(leaving) == host.Stopped })
}

// phase returns the phase of a host, or "" if the control does not answer or
// does not have the host.
func (f *fleet) phase(name string) host.Phase {
	hosts, err := adminapi.NewClient(f.admin).Hosts(f.t.Context())
	if err != nil {
		return ""
	}
	for _, h := range hosts.Hosts {
		if h.Row.Host == name {
			return h.Row.Phase
		}
	}
	return ""
}

// sinceSeenMS returns the time in milliseconds since the last message from a
// process, 0 if the control does not answer or does not have the process.
func (f *fleet) sinceSeenMS(name string) int64 {
	now, err := adminapi.NewClient(f.admin).Instances(f.t.Context())
	if err != nil {
		return 0
	}
	for _, in := range now.Instances {
		if in.Name == name {
			return in.SeenMSAgo
		}
	}
	return 0
}

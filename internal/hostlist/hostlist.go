// Package hostlist distributes the platform's host list as incremental changes.
// One process reads the list into a Log; the others keep a Copy of it.
package hostlist

import (
	"maps"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// Hosts is a host list by host name. It must not be modified after it is passed
// on.
type Hosts map[string]platform.ListedHost

// Log holds the current list and the version at which each host last changed.
// It is not safe for concurrent use.
type Log struct {
	source  uint64
	version uint64
	hosts   Hosts
	// changedAt holds the version at which a host was last changed or removed.
	changedAt map[string]uint64
}

// NewLog returns an empty log. Each log must have another source, so that a
// copy of one log is never updated with the changes of another.
func NewLog(source uint64) *Log {
	return &Log{source: source, changedAt: map[string]uint64{}}
}

// Update replaces the list and records which hosts were added, changed or
// removed.
func (l *Log) Update(hosts Hosts) {
	next := l.version + 1
	for name, h := range hosts {
		if old, listed := l.hosts[name]; !listed || old != h {
			l.changedAt[name] = next
			l.version = next
		}
	}
	for name := range l.hosts {
		if _, listed := hosts[name]; !listed {
			l.changedAt[name] = next
			l.version = next
		}
	}
	l.hosts = hosts
}

// Since returns the changes since a version of a source. It returns the full
// list for another source or a version that this log has not reached.
func (l *Log) Since(source, version uint64) *controlpb.ListReply {
	reply := &controlpb.ListReply{Known: true, Source: l.source, Version: l.version}
	if source == l.source && version == l.version {
		return reply
	}
	if source != l.source || version > l.version {
		reply.Full = true
		version = 0
	}
	for name, at := range l.changedAt {
		if at <= version {
			continue
		}
		if h, listed := l.hosts[name]; listed {
			reply.Hosts = append(reply.Hosts, toMessage(h))
		} else if !reply.Full {
			reply.Gone = append(reply.Gone, name)
		}
	}
	return reply
}

// Copy is a copy of another process's list. Its zero value is empty and has no
// source. It is not safe for concurrent use.
type Copy struct {
	source, version uint64
	hosts           Hosts
}

// Position returns the source and version of the copy, which are passed to
// Log.Since.
func (c *Copy) Position() (source, version uint64) { return c.source, c.version }

// Apply applies a reply to the copy and returns the list. It returns false, and
// leaves the copy unchanged, if the process that replied has no list or the
// changes are those of another source.
func (c *Copy) Apply(reply *controlpb.ListReply) (Hosts, bool) {
	if !reply.Known || !reply.Full && reply.Source != c.source {
		return nil, false
	}
	if reply.Full || len(reply.Hosts)+len(reply.Gone) > 0 {
		next := Hosts{}
		if !reply.Full {
			maps.Copy(next, c.hosts)
		}
		for _, name := range reply.Gone {
			delete(next, name)
		}
		for _, h := range reply.Hosts {
			next[h.Name] = fromMessage(h)
		}
		c.hosts = next
	}
	c.source, c.version = reply.Source, reply.Version
	return c.hosts, true
}

func toMessage(h platform.ListedHost) *controlpb.ListedHost {
	return &controlpb.ListedHost{
		Name: h.Name, Address: h.Address, Region: h.Region, Datacentre: h.DataCentre, Rack: h.Rack,
		Processors: uint32(h.Processors), MemoryMb: uint32(h.MemoryMB), Accelerators: uint32(h.Accelerators),
		Slots: uint32(h.Slots), Connections: uint32(h.Connections), State: string(h.State), Entry: h.Entry,
	}
}

func fromMessage(h *controlpb.ListedHost) platform.ListedHost {
	return platform.ListedHost{
		Host: host.Host{
			Name: h.Name, Address: h.Address,
			Place:      datacentre.Place{Region: h.Region, DataCentre: h.Datacentre, Rack: h.Rack},
			Processors: int(h.Processors), MemoryMB: int(h.MemoryMb), Accelerators: int(h.Accelerators),
			Slots: int(h.Slots), Connections: int(h.Connections),
		},
		State: platform.HostState(h.State), Entry: h.Entry,
	}
}

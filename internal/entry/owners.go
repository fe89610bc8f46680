package entry

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// homeTimeout is how long the entry goes without a reply of a home control
// process before it reads the owners from the table.
const homeTimeout = 5 * time.Second

// directory maps each pool to the control process that owns its shard.
type directory struct {
	version uint64
	owners  map[string]string // address by pool
}

// directoryOf returns the directory that a reply contains.
func directoryOf(reply *controlpb.ExchangeReply) directory {
	d := directory{version: reply.DirectoryVersion, owners: map[string]string{}}
	for _, o := range reply.Directory {
		d.owners[o.Shard] = o.Address
	}
	return d
}

// adoptDirectory replaces the directory if d has a higher version.
func (e *Entry) adoptDirectory(d directory) {
	if d.version > e.directory.version {
		e.directory = d
	}
}

// homeTimedOut reports whether no home control process has replied for
// homeTimeout. The entry then gets settings from the owners, too.
func (e *Entry) homeTimedOut() bool { return e.elapsed()-e.homeLastReply > homeTimeout }

// findOwners reads the directory from the table if no configured control
// process has replied for homeTimeout: all of them may have been replaced by
// processes at other addresses.
func (e *Entry) findOwners(ctx context.Context) error {
	timedOut := false
	e.exec.Do(ctx, func() { timedOut = e.homeTimedOut() })
	if !timedOut {
		return nil
	}
	found, err := lease.ReadDirectory(ctx, e.platform.Table)
	if err != nil {
		return err
	}
	d := directory{version: uint64(found.Version), owners: map[string]string{}}
	for _, o := range found.Owners {
		d.owners[o.Shard] = o.Address
	}
	e.exec.Do(ctx, func() { e.adoptDirectory(d) })
	return nil
}

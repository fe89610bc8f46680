package entry

import (
	"context"
	"time"

	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// homeTimeout is how long no home may answer before the entry looks for the
// owners in the table.
const homeTimeout = 5 * time.Second

// directory says which control process owns which pool's shard.
type directory struct {
	version uint64
	owners  map[string]string // address by pool
}

// directoryOf returns the directory of a reply.
func directoryOf(reply *controlpb.ExchangeReply) directory {
	d := directory{version: reply.DirectoryVersion, owners: map[string]string{}}
	for _, o := range reply.Directory {
		d.owners[o.Shard] = o.Address
	}
	return d
}

// adoptDirectory takes in a directory that is newer than the one known.
func (e *Entry) adoptDirectory(d directory) {
	if d.version > e.directory.version {
		e.directory = d
	}
}

// homeTimedOut reports whether no home has answered for long. The owners then stand
// in for it.
func (e *Entry) homeTimedOut() bool { return e.elapsed()-e.homeLastReply > homeTimeout }

// findOwners reads the directory from the table when no control process that
// the entry's settings name has answered for long: all of them may have been
// replaced at other addresses.
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

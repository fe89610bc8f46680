package lease

import (
	"context"

	"github.com/egretpitch/egretpitch/internal/platform"
)

// Owner is the directory entry of a shard.
type Owner struct {
	Shard string
	// Owner is the name of the control process, empty if the shard has no owner.
	Owner string
	// Address is the IP address and port of its drpc server.
	Address string
	Epoch   uint64
}

// Directory lists the owners of all shards, as of one scan of the table. It is
// immutable. It may be out of date: a process that has lost a shard rejects
// calls for it.
type Directory struct {
	// Version is the highest version among the scanned shard rows. It rises with
	// every change of an owner.
	Version int64
	// Owners is sorted by shard name.
	Owners []Owner
}

// Lookup returns the owner of a shard, and false if there is none.
func (d *Directory) Lookup(shard string) (Owner, bool) {
	for _, o := range d.Owners {
		if o.Shard == shard {
			return o, o.Owner != ""
		}
	}
	return Owner{}, false
}

// newDirectory returns the directory of the shards of one scan, which are
// sorted by name. Own commits must not be added to it: the scan may lack rows
// that others wrote earlier, and two different directories would then have the
// same version.
func newDirectory(shards []State) *Directory {
	d := &Directory{Owners: make([]Owner, 0, len(shards))}
	for _, s := range shards {
		d.Version = max(d.Version, s.Version)
		d.Owners = append(d.Owners, Owner{Shard: s.Shard, Owner: s.Owner, Address: s.Address, Epoch: s.Epoch})
	}
	return d
}

// ReadDirectory reads the directory from the table. It serves a process that
// cannot reach any control process that it knows of.
func ReadDirectory(ctx context.Context, table platform.Table) (*Directory, error) {
	rows, err := table.Scan(ctx, KeyPrefix, 0)
	if err != nil {
		return nil, err
	}
	shards := make([]State, 0, len(rows))
	for _, row := range rows {
		s, err := Decode(row)
		if err != nil {
			return nil, err
		}
		shards = append(shards, s)
	}
	return newDirectory(shards), nil
}

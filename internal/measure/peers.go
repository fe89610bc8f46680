package measure

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/egretpitch/egretpitch/internal/control"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/entry"
	"github.com/egretpitch/egretpitch/internal/lease"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/settings"
)

// owner is a complete control process inside the measuring process.
type owner struct {
	address string
	manager *control.Manager
}

// startOwners starts the scenario's Owners.
func (b *bench) startOwners() error {
	for i := range b.scenario.Owners {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Wrap(err, "listen on the address of a control process")
		}
		address := listener.Addr().String()
		m := control.New(control.Options{
			Name: fmt.Sprintf("owner-%03d", i), Address: address, AdminAddress: address,
			Incarnation: uint64(i + 1), Platform: b.uncounted, Log: zap.NewNop(),
		})
		mux := drpcmux.New()
		if err := controlpb.DRPCRegisterControl(mux, m); err != nil {
			return err
		}
		b.run(func() { _ = drpcserver.New(mux).Serve(b.ctx, listener) })
		b.run(func() { _ = m.Run(b.ctx) })
		b.owners = append(b.owners, &owner{address: address, manager: m})
	}
	return nil
}

// startMembers starts the scenario's Members, which only send heartbeats and
// keep the shards that they own.
func (b *bench) startMembers() {
	shards := b.scenario.poolNames()
	for i := range b.scenario.Members {
		self := memberRow(i)
		members := membership.NewManager(membership.Config{Table: b.uncounted.Table, Self: self})
		leases := lease.NewManager(lease.Config{
			Table: b.uncounted.Table, Members: members.Snapshot, Shards: func() []string { return shards },
			Self: lease.Identity{Name: self.Name, Address: self.Address, Incarnation: self.Incarnation},
		})
		b.run(func() { _ = members.Run(b.ctx) })
		b.run(func() { _ = leases.Run(b.ctx) })
	}
}

// startEntries starts the scenario's Entries with the RPC addresses of control
// processes.
func (b *bench) startEntries(control []string) {
	for i := range b.scenario.Entries {
		e := entry.New(entry.Options{
			Name: entryName(i), Address: "127.0.0.1:9", Control: control, Boot: entryName(i),
			Incarnation: uint64(i + 1), Platform: b.uncounted, Log: zap.NewNop(),
			Place: datacentre.Place{Region: "region-0", DataCentre: "dc-0", Rack: "entry"},
		})
		b.run(func() { _ = e.Run(b.ctx) })
	}
}

// startMeasured starts the measured process, with the bench's platform as its
// platform.
func (b *bench) startMeasured() (*process, error) {
	args := []string{
		"--name", measuredName, "--region", "region-0", "--datacentre", "dc-0", "--rack", "entry",
		"--rpc-listen", loopback, "--admin-listen", loopback,
	}
	for _, service := range []string{"table", "objects", "hosts", "workers"} {
		args = append(args, "--platform."+service, "http://"+b.platformListener.Addr().String())
	}
	if b.scenario.Role != Entry {
		return startProcess(b.ctx, b.binaries, "egretpitch-control", args...)
	}
	args = append(args, "--listen", loopback)
	for _, o := range b.owners {
		args = append(args, "--control", o.address)
	}
	return startProcess(b.ctx, b.binaries, "egretpitch-entry", args...)
}

// allShardsOwned reports whether every shard's row names an owner.
func (b *bench) allShardsOwned() bool {
	rows, err := b.uncounted.Table.Scan(b.ctx, lease.KeyPrefix, 0)
	if err != nil || len(rows) < b.scenario.Pools {
		return false
	}
	for _, row := range rows {
		if s, err := lease.Decode(row); err != nil || s.Owner == "" {
			return false
		}
	}
	return true
}

// allHostRowsWritten reports whether every host has a row.
func (b *bench) allHostRowsWritten() bool {
	rows, err := b.uncounted.Table.Scan(b.ctx, "host/", 0)
	return err == nil && len(rows) >= b.scenario.Pools*b.scenario.HostsPerPool
}

// changedTree returns the encoded tree with the estate's priority set to a value
// that depends on n.
func (b *bench) changedTree(n int) ([]byte, error) {
	tree := b.scenario.Tree()
	priority := n%90 + 1
	tree.Settings.Priority = &priority
	return settings.Encode(tree)
}

package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/egretpitch/egretpitch/internal/hostlist"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// listTimeout bounds the call that fetches the host list from the process that
// reads it from the platform.
const listTimeout = time.Second

// errListUnavailable means that the other process does not read the host list
// from the platform, or that its copy is older than maxListAge.
var errListUnavailable = errors.New("the other process has no recent host list")

// List implements the drpc service. It returns the changes of the host list
// since the given version, or an empty reply if this process does not read the
// list from the platform.
func (m *Manager) List(ctx context.Context, req *controlpb.ListRequest) (*controlpb.ListReply, error) {
	reply := &controlpb.ListReply{}
	ok := m.exec.Do(ctx, func() {
		if m.fleet.listed == nil || !m.fleet.listedLocally {
			return
		}
		reply = m.listLog.Since(req.Source, req.Version)
		reply.AgeMs = uint64(m.now().Sub(m.fleet.listedAsOf).Milliseconds())
	})
	if !ok {
		return nil, errStopping
	}
	return reply, nil
}

// readList adds the host list to a snapshot. It fetches the list from the owner
// of the spare pool, which reads it for all processes, and falls back to the
// platform. Only the goroutine of readLoop calls it.
func (m *Manager) readList(ctx context.Context, r *snapshot) error {
	if address := m.listReaderAddress(); address != "" {
		err := m.fetchList(ctx, address, r)
		if err == nil {
			return nil
		}
		m.log.Debug("failed to fetch the host list, reading it from the platform", zap.Error(err))
	}
	r.listedAt = m.now()
	listed, err := m.platform.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	r.listedLocally = true
	r.listed = make(hostlist.Hosts, len(listed))
	for _, h := range listed {
		r.listed[h.Name] = h
	}
	return nil
}

// listReaderAddress returns the drpc address of the owner of the spare pool. It
// is empty if this process is the owner or no owner is known.
func (m *Manager) listReaderAddress() string {
	current := m.adopter.Current()
	if current == nil {
		return ""
	}
	owner, ok := m.leases.Directory().Lookup(current.Value.Spare)
	if !ok || owner.Owner == m.name {
		return ""
	}
	return owner.Address
}

// fetchList updates the copy of the host list from another process and adds it
// to a snapshot.
func (m *Manager) fetchList(ctx context.Context, address string, r *snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request := &controlpb.ListRequest{}
	request.Source, request.Version = m.listCopy.Position()
	began := m.now()
	var reply *controlpb.ListReply
	err := m.rpc.Call(ctx, address, "control: list", func(conn drpc.Conn) error {
		var err error
		reply, err = controlpb.NewDRPCControlClient(conn).List(ctx, request)
		return err
	})
	if err != nil {
		return err
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	hosts, ok := m.listCopy.Apply(reply)
	if !ok || age > maxListAge {
		return operr.Wrap(errListUnavailable, "control: list", address)
	}
	r.listed = hosts
	// The reported age is subtracted from the start of the call, so the list
	// is never taken for newer than it is.
	r.listedAt = began.Add(-age)
	return nil
}

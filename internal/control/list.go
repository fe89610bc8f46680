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

// listTimeout bounds the question for the host list to the process that reads
// it.
const listTimeout = time.Second

// errListUnavailable means that the asked process does not read the host list, or
// that its last reading is too old.
var errListUnavailable = errors.New("host list is not known there")

// List implements the drpc service.
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

// readList puts the host list into a reading: from the owner of the spare pool,
// which reads it for all, or else from the platform itself. Only the goroutine
// that reads calls it.
func (m *Manager) readList(ctx context.Context, r *snapshot) error {
	if address := m.listReaderAddress(); address != "" {
		err := m.fetchList(ctx, address, r)
		if err == nil {
			return nil
		}
		m.log.Debug("host list not asked for", zap.Error(err))
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

// listReaderAddress returns the drpc address of the owner of the spare pool, empty if
// that is this process or nobody.
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

// fetchList brings the copy of the list up to date and puts it into a reading.
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
	// What the other read is as old as it says, counted from our question.
	r.listedAt = began.Add(-age)
	return nil
}

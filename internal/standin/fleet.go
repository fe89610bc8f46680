package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Fleet is an in-memory host list with its workers. It implements
// platform.HostList and platform.Workers.
type Fleet struct {
	// RebootTime is how long a rebooted worker is down.
	RebootTime time.Duration
	// Recorder records the requests that the workers executed.
	Recorder *Recorder

	mu      sync.Mutex
	workers map[string]*Worker
	listed  map[string]platform.ListedHost
	tasks   map[taskKey]*taskRecord
	// epochs holds the highest epoch that each task was started with, by task id.
	epochs     map[string]uint64
	runs       []TaskRun
	taskFaults map[string]TaskFaults
	now        func() time.Time
}

var (
	_ platform.HostList = (*Fleet)(nil)
	_ platform.Workers  = (*Fleet)(nil)
)

// NewFleet returns a fleet without hosts.
func NewFleet() *Fleet {
	return &Fleet{
		Recorder:   &Recorder{},
		workers:    map[string]*Worker{},
		listed:     map[string]platform.ListedHost{},
		tasks:      map[taskKey]*taskRecord{},
		epochs:     map[string]uint64{},
		taskFaults: map[string]TaskFaults{},
		now:        time.Now,
	}
}

// Add starts a worker and lists its host as live.
func (f *Fleet) Add(h host.Host) error {
	w, err := StartWorker(h, f.Recorder)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[h.Name] = w
	f.listed[h.Name] = platform.ListedHost{Host: w.Host, State: platform.HostLive}
	return nil
}

// SetListed sets the entry of a host in the host list; nil removes it.
func (f *Fleet) SetListed(name string, listed *platform.ListedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if listed == nil {
		delete(f.listed, name)
		return
	}
	f.listed[name] = *listed
}

// Worker returns a worker by name.
func (f *Fleet) Worker(name string) (*Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[name]
	return w, ok
}

// Close closes all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.Close()
	}
}

// Hosts implements platform.HostList.
func (f *Fleet) Hosts(context.Context) ([]platform.ListedHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]platform.ListedHost, 0, len(f.listed))
	for _, h := range f.listed {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Reboot implements platform.Workers: it closes the worker, drops its tasks and
// removes it from the host list, and starts it again after RebootTime.
func (f *Fleet) Reboot(_ context.Context, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[name]
	if !ok {
		return operr.Wrap(platform.ErrNotFound, "workers: reboot", name)
	}
	w.Close()
	for k := range f.tasks {
		if k.host == name {
			delete(f.tasks, k)
		}
	}
	listed := f.listed[name]
	delete(f.listed, name)
	time.AfterFunc(f.RebootTime, func() { f.restartWorker(w.Host, listed) })
	return nil
}

// restartWorker starts a rebooted worker at its previous address and restores its
// entry in the host list.
func (f *Fleet) restartWorker(h host.Host, listed platform.ListedHost) {
	w, err := StartWorker(h, f.Recorder)
	if err != nil {
		return // the port was taken by another process; the host never returns
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[h.Name] = w
	f.listed[h.Name] = listed
}

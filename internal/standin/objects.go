package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Objects is an in-memory object store.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put implements platform.Objects.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = append([]byte(nil), data...)
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, operr.Wrap(platform.ErrNotFound, "objects: get", name)
	}
	return append([]byte(nil), data...), nil
}

// List implements platform.Objects.
func (o *Objects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.data {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

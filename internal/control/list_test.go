package control_test

import (
	"slices"
	"testing"

	"github.com/egretpitch/egretpitch/internal/control"
)

// TestOneProcessReadsTheHostListForAll checks that one of two processes reads
// the host list from the platform, and that the other one takes over when the
// reader stops.
func TestOneProcessReadsTheHostListForAll(t *testing.T) {
	s := newEstate(t)
	from := func() []string {
		list := []string{control.ListFrom(s.managers[0]), control.ListFrom(s.managers[1])}
		slices.Sort(list)
		return list
	}
	s.wait("one process reads the list and the other fetches it", func() bool { return slices.Equal(from(), []string{"another", "here"}) })
	reader := slices.IndexFunc(s.managers, func(m *control.Manager) bool { return control.ListFrom(m) == "here" })
	s.stops[reader]()
	other := s.managers[1-reader]
	s.wait("the other process reads the list", func() bool { return control.ListFrom(other) == "here" })
}

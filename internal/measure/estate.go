package measure

import (
	"fmt"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// regionCount and dataCentreCount are the numbers of regions and data
	// centres of the planned estate.
	regionCount     = 3
	dataCentreCount = 8
	// rackHosts is the number of hosts in a rack.
	rackHosts = 4
	// hostSlots and hostConnections are the numbers of requests and of
	// connections that a host accepts at once.
	hostSlots       = 8
	hostConnections = 64
)

// Tree returns the settings tree of a scenario.
func (s *Scenario) Tree() *settings.Tree {
	t := &settings.Tree{Estate: "measured"}
	for i := range s.Teams {
		t.Teams = append(t.Teams, settings.Team{Name: fmt.Sprintf("team-%03d", i), Processors: 64, MemoryMB: 65536})
	}
	for i := range dataCentreCount {
		t.DataCentres = append(t.DataCentres, settings.DataCentre{
			Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%regionCount),
			Racks: map[string][]string{},
		})
	}
	for i := range min(regionCount, s.Pools) {
		t.Regions = append(t.Regions, settings.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range s.Pools {
		region := &t.Regions[i%len(t.Regions)]
		region.Pools = append(region.Pools, s.pool(t, i))
	}
	for i := range t.DataCentres {
		t.DataCentres[i].Region = t.Regions[i%len(t.Regions)].Name
	}
	return t
}

// pool returns pool i and adds its hosts to racks of the tree.
func (s *Scenario) pool(t *settings.Tree, i int) settings.Pool {
	p := settings.Pool{Name: fmt.Sprintf("pool-%03d", i), Spare: i == 0}
	for j := range s.HostsPerPool {
		n := i*s.HostsPerPool + j
		name := hostName(n)
		dc := &t.DataCentres[n%dataCentreCount]
		rack := fmt.Sprintf("%s-r%03d", dc.Name, n/dataCentreCount/rackHosts)
		dc.Racks[rack] = append(dc.Racks[rack], name)
		p.Hosts = append(p.Hosts, name)
	}
	for j := range s.ServicesPerPool {
		service := settings.Service{Name: fmt.Sprintf("service-%03d-%03d", i, j)}
		if s.Teams > 0 {
			service.Team = t.Teams[(i*s.ServicesPerPool+j)%s.Teams].Name
		}
		priority := 10 + j%90
		service.Settings.Priority = &priority
		p.Services = append(p.Services, service)
	}
	return p
}

// hostName returns the name of worker n.
func hostName(n int) string { return fmt.Sprintf("host-%05d", n) }

// listedHosts returns the platform's host list: the workers of the tree, the
// scenario's Listed hosts in no pool, and the entry hosts.
func (s *Scenario) listedHosts(effective *settings.Effective, entries []string) []platform.ListedHost {
	var hosts []platform.ListedHost
	for name, place := range effective.Places {
		hosts = append(hosts, listedWorker(name, place))
	}
	for i := range s.Listed {
		place := datacentre.Place{Region: "region-0", DataCentre: "dc-0", Rack: "elsewhere"}
		hosts = append(hosts, listedWorker(fmt.Sprintf("other-%05d", i), place))
	}
	for _, name := range entries {
		hosts = append(hosts, platform.ListedHost{
			State: platform.HostLive, Entry: true,
			Host: host.Host{Name: name, Place: datacentre.Place{Region: "region-0", DataCentre: "dc-0", Rack: "entry"}},
		})
	}
	return hosts
}

// listedWorker returns a live worker of the same size as all others. Nothing
// listens at its address.
func listedWorker(name string, place datacentre.Place) platform.ListedHost {
	return platform.ListedHost{State: platform.HostLive, Host: host.Host{
		Name: name, Address: "127.0.0.1:9", Place: place, Processors: 64, MemoryMB: 131072,
		Slots: hostSlots, Connections: hostConnections,
	}}
}

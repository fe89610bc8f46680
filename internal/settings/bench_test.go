package settings

import (
	"fmt"
	"testing"
)

// manyTeams returns a tree in which each team has one service in each pool;
// every tenth service overrides its priority.
func manyTeams(teams, pools int) *Tree {
	const dataCentres, hostsPerPool, rackHosts = 8, 19, 4
	t := &Tree{Estate: "large"}
	for i := range teams {
		t.Teams = append(t.Teams, Team{Name: fmt.Sprintf("team-%03d", i)})
	}
	for i := range dataCentres {
		t.DataCentres = append(t.DataCentres, DataCentre{
			Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%3), Racks: map[string][]string{},
		})
	}
	for i := range 3 {
		t.Regions = append(t.Regions, Region{Name: fmt.Sprintf("region-%d", i), Settings: Values{Priority: ref(40 + i)}})
	}
	host := 0
	for i := range pools {
		region := &t.Regions[i%3]
		p := Pool{Name: fmt.Sprintf("pool-%03d", i), Spare: i == 0}
		for range hostsPerPool {
			name := fmt.Sprintf("host-%05d", host)
			dc := &t.DataCentres[host%dataCentres]
			rack := fmt.Sprintf("%s-r%03d", dc.Name, host/dataCentres/rackHosts)
			dc.Racks[rack] = append(dc.Racks[rack], name)
			p.Hosts = append(p.Hosts, name)
			host++
		}
		for j := range teams {
			s := Service{Name: fmt.Sprintf("s-%03d-%03d", i, j), Team: t.Teams[j].Name}
			if j%10 == 0 {
				s.Settings.Priority = ref(j % 100)
			}
			p.Services = append(p.Services, s)
		}
		region.Pools = append(region.Pools, p)
	}
	return t
}

func BenchmarkEffective660x180(b *testing.B) {
	tree := manyTeams(660, 180)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Effective(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParse parses the YAML of trees with 66 and 660 teams.
func BenchmarkParse(b *testing.B) {
	for _, teams := range []int{66, 660} {
		data, err := Encode(manyTeams(teams, 180))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("%dx180", teams), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Parse("large.yaml", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

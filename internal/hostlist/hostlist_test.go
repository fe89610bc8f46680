package hostlist

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// TestCopyFollowsLogThroughLostRepliesAndNewReaders checks that a copy equals
// the list after each reply, while hosts are added, changed and removed,
// replies are lost, and another process becomes the reader.
func TestCopyFollowsLogThroughLostRepliesAndNewReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, source := NewLog(1), uint64(1)
		hosts := Hosts{}
		log.Update(hosts)
		var c Copy
		exchange := func(lost bool) {
			reply := log.Since(c.Position())
			if lost {
				return
			}
			got, ok := c.Apply(reply)
			if !ok {
				t.Fatalf("copy rejects %v", reply)
			}
			if diff := cmp.Diff(hosts, got); diff != "" {
				t.Fatalf("copy differs from the list (-list +copy):\n%s", diff)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				hosts = maps.Clone(hosts)
				name := fmt.Sprintf("host-%d", rapid.IntRange(0, 4).Draw(t, "host"))
				state := rapid.SampledFrom([]platform.HostState{"", platform.HostLive, platform.HostLeaving}).Draw(t, "state")
				if state == "" {
					delete(hosts, name)
				} else {
					hosts[name] = platform.ListedHost{Host: host.Host{Name: name, Slots: 8}, State: state}
				}
				log.Update(hosts)
			},
			"new reader": func(*rapid.T) {
				source++
				log = NewLog(source)
				log.Update(hosts)
			},
			"ask":  func(*rapid.T) { exchange(false) },
			"lose": func(*rapid.T) { exchange(true) },
		})
	})
}

// BenchmarkReply measures the processor time at both ends and the bytes of one
// exchange, at 3,990 hosts.
func BenchmarkReply(b *testing.B) {
	const listed = 3990
	hosts := Hosts{}
	for i := range listed {
		name := fmt.Sprintf("worker-%04d", i)
		hosts[name] = platform.ListedHost{
			Host: host.Host{
				Name: name, Address: "10.0.0.1:7101", Processors: 64, MemoryMB: 131072, Slots: 8, Connections: 64,
				Place: datacentre.Place{Region: "lagos", DataCentre: "lagos-1", Rack: "lagos-1-r0001"},
			},
			State: platform.HostLive,
		}
	}
	for _, changes := range []int{0, 1, listed} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			b.ReportAllocs()
			log := NewLog(1)
			log.Update(hosts)
			var c Copy
			c.Apply(log.Since(0, 0))
			log.version += uint64(min(changes, 1))
			bytes := 0
			for b.Loop() {
				source, version := c.Position()
				if changes == listed {
					source = 0
				}
				for i := range min(changes, 1) {
					log.changedAt[fmt.Sprintf("worker-%04d", i)] = log.version
				}
				reply := log.Since(source, version)
				bytes = proto.Size(reply)
				at := c
				at.Apply(reply)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

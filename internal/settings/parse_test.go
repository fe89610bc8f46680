package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// small is a valid tree; each test case breaks it in one place.
const small = `estate: small
settings:
  deadline: 1s
  availability: 0.99
teams:
  - name: clerks
datacentres:
  - name: ikeja
    region: lagos
    racks:
      ikeja-r1: ["kano-[01-02]", spare-1]
  - name: lekki
    region: lagos
    racks:
      lekki-r1: ["kano-[03-04]", spare-2]
regions:
  - name: lagos
    settings:
      priority: 60
    pools:
      - name: kano
        hosts: ["kano-[01-04]"]
        settings:
          buffer_weight: 5
        services:
          - name: orders
            team: clerks
            settings:
              deadline: 500ms
          - name: stock
      - name: spare
        spare: true
        hosts: [spare-1, spare-2]
`

func TestServiceInheritsUnlessItOverrides(t *testing.T) {
	tree, err := Parse("small.yaml", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	e, err := tree.Effective()
	if err != nil {
		t.Fatal(err)
	}
	got := []string{
		e.Services["orders"].Deadline.String(), e.Services["stock"].Deadline.String(),
		formatFloat(e.Pools["kano"].BufferWeight), formatFloat(e.Pools["spare"].BufferWeight),
		e.HomePool["kano-03"], e.Places["kano-03"].Rack, e.Spare,
	}
	want := []string{"500ms", "1s", "5", "1", "kano", "lekki-r1", "spare"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if p := e.Services["stock"].Priority; p != 60 {
		t.Errorf("stock has priority %d, want the region's 60", p)
	}
}

func TestFaultIsRefusedWithLineAndPath(t *testing.T) {
	for _, c := range []struct{ old, broken, want string }{
		{"deadline: 500ms", "deadlin: 500ms", "f.yaml:29:15: regions[lagos].pools[kano].services[orders].settings.deadlin: unknown key; allowed here: availability, deadline"},
		{"deadline: 500ms", "deadline: 5", "f.yaml:29:25: regions[lagos].pools[kano].services[orders].settings.deadline: must be a duration"},
		{"deadline: 500ms", "deadline: 1ms", "f.yaml:29:25: regions[lagos].pools[kano].services[orders].settings.deadline: 1ms is out of range; allowed: 10ms to 10m0s"},
		{"deadline: 500ms", "min_hosts: 1", "may not be set for a service; allowed at: estate, region, pool"},
		{"deadline: 500ms", "key_outage: maybe", "key_outage: maybe is out of range; allowed: refuse or run"},
		{"deadline: 500ms", "deadline:", "no value; give a duration"},
		{"priority: 60", "priority: &x 60", "anchors and aliases are not allowed"},
		{"availability: 0.99", "deadline: 2s", "f.yaml:4:3: settings.deadline: key given twice"},
		{"name: stock", "name: orders", `f.yaml:30:19: regions[lagos].pools[kano].services[orders].name: service "orders" is also in pool "kano"`},
		{"team: clerks", "team: crews", `unknown team "crews"; allowed: one listed under teams`},
		{"region: lagos", "region: abuja", `f.yaml:9:13: datacentres[ikeja].region: unknown region "abuja"`},
		{"name: spare", "name: kano", `pool "kano" is listed twice`},
		{"        spare: true\n", "", "0 pools have spare: true; exactly one pool"},
		{"hosts: [spare-1, spare-2]", "hosts: [spare-1, spare-2, kano-01]", `host "kano-01" is also in pool "kano"; a host belongs to exactly one pool`},
		{"hosts: [spare-1, spare-2]", "hosts: []", "pool without hosts; list at least one"},
		{"hosts: [spare-1, spare-2]", "hosts: [spare-1, spare-2, kano-09]", `host "kano-09" is in no rack; list it under datacentres`},
		{"hosts: [spare-1, spare-2]", "hosts: [spare-1]", `host "spare-2" is in no pool`},
		{`lekki-r1: ["kano-[03-04]"`, `lekki-r1: ["kano-[02-04]"`, `host "kano-02" is also in rack "ikeja-r1"`},
		{"kano-[03-04]", "kano-[04-03]", `f.yaml:15:18: datacentres[lekki].racks.lekki-r1[0]: range "kano-[04-03]" must ascend and name at most 10000 hosts`},
		{"buffer_weight: 5", "min_hosts: 4", "min_hosts 4 and max_unavailable 1 need 5 hosts, the pool has 4"},
		{"buffer_weight: 5", "min_hosts: 0", "a pool with services keeps at least 1"},
		{"buffer_weight: 5", "{availability: 0.999, max_unavailable: 2}", `availability 0.999 can't be given: without rack "ikeja-r1" and with max_unavailable 2 no host is left`},
		{"estate: small\n", "estate: small\n\tx: [\n", "f.yaml:2:1: not YAML"},
		{"estate: small\n", "estate: small\n---\n", "a second document"},
		{small, "", "f.yaml:1:1: the file is empty"},
	} {
		_, err := Parse("f.yaml", []byte(strings.ReplaceAll(small, c.old, c.broken)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got\n%v\nwant %s", c.broken, err, c.want)
		}
	}
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	broken := strings.NewReplacer("priority: 60", "priority: 101", "team: clerks", "team: crews",
		"buffer_weight: 5", "bufer_weight: 5", "deadline: 500ms", "deadline: soon").Replace(small)
	_, err := Parse("f.yaml", []byte(broken))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("got %v, want Errors", err)
	}
	var lines []int
	for _, e := range errs {
		lines = append(lines, e.Line)
	}
	if diff := cmp.Diff([]int{19, 24, 27, 29}, lines); diff != "" {
		t.Errorf("lines of errors (-want +got):\n%s%v", diff, err)
	}
}

func TestEncodedTreeReadsBackEqual(t *testing.T) {
	tree, err := Parse("small.yaml", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(tree)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("encoded.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(tree, again); diff != "" {
		t.Error(diff)
	}
}

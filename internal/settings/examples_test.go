package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// example returns the content of an example tree.
func example(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExamplesHaveTheHostsOfTheirDeployments(t *testing.T) {
	for name, want := range map[string]map[string]int{
		"ikenna.yaml":  {"kano-ordering": 9, "aba-dispatch": 9, "ibadan-sales": 11, "headoffice-logistics": 12, "shared-administration": 8},
		"cascade.yaml": {"fitting": 9, "rating": 9, "sleeves": 11, "certification": 12, "back-office": 8},
	} {
		tree, err := Parse(name, []byte(example(t, name)))
		if err != nil {
			t.Fatal(err)
		}
		e, err := tree.Effective()
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]int{}
		for pool, v := range e.Pools {
			got[pool] = len(v.Hosts)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		for pool, v := range e.Pools {
			checkSpread(t, e, pool, v.Hosts)
		}
		perRack := map[string]int{}
		for h, p := range e.Places {
			if perRack[p.Rack]++; perRack[p.Rack] > 4 {
				t.Errorf("%s: rack %s holds %s as its fifth host", name, p.Rack, h)
			}
		}
	}
}

// checkSpread fails if a data centre has more than a third of a pool's hosts,
// rounded up, or a rack more than two of them.
func checkSpread(t *testing.T, e *Effective, pool string, hosts []string) {
	t.Helper()
	perDataCentre, perRack := map[string]int{}, map[string]int{}
	for _, h := range hosts {
		perDataCentre[e.Places[h].DataCentre]++
		perRack[e.Places[h].Rack]++
	}
	for dc, n := range perDataCentre {
		if n > (len(hosts)+2)/3 {
			t.Errorf("%s has %d of %d hosts in %s", pool, n, len(hosts), dc)
		}
	}
	for rack, n := range perRack {
		if n > 2 {
			t.Errorf("%s has %d hosts in rack %s", pool, n, rack)
		}
	}
}

func TestBrokenCopyOfAnExampleIsRefusedWithLineAndPath(t *testing.T) {
	for _, c := range []struct{ file, old, broken, path string }{
		{"ikenna.yaml", "deadline: 5s", "deadline: 5 seconds", "regions[lagos].pools[kano-ordering].services[kano-invoices].settings.deadline"},
		{"cascade.yaml", "min_hosts: 7", "min_hosts: 70", "regions[northwest].pools[sleeves]"},
	} {
		text := example(t, c.file)
		line := strings.Count(text[:strings.Index(text, c.old)], "\n") + 1
		if c.old == "min_hosts: 7" {
			// The error concerns the pool as a whole, so its position is the
			// start of the pool.
			line = strings.Count(text[:strings.Index(text, "name: sleeves")], "\n") + 1
		}
		_, err := Parse(c.file, []byte(strings.Replace(text, c.old, c.broken, 1)))
		var errs Errors
		if !errors.As(err, &errs) || len(errs) != 1 {
			t.Fatalf("%s: got %v, want one error", c.file, err)
		}
		if e := errs[0]; e.File != c.file || e.Line != line || e.Path != c.path {
			t.Errorf("got %+v, want line %d and path %s", e, line, c.path)
		}
	}
}

package strictyaml

import (
	"strings"
	"testing"
	"time"
)

// sample has a field of every type that Decode supports.
type sample struct {
	Name  string              `yaml:"name"`
	Wait  time.Duration       `yaml:"wait"`
	Count *int                `yaml:"count"`
	Share float64             `yaml:"share"`
	On    bool                `yaml:"on"`
	Tags  []string            `yaml:"tags"`
	Racks map[string][]string `yaml:"racks"`
}

func TestWrongTypeIsRefusedWithWhatIsAllowed(t *testing.T) {
	for in, want := range map[string]string{
		"name: 1":                     "f:1:7: name: must be text",
		"wait: 1":                     "f:1:7: wait: must be a duration",
		"count: 1.5":                  "f:1:8: count: must be a whole number",
		"count: 99999999999999999999": "f:1:8: count: must be a whole number",
		"share: .nan":                 "f:1:8: share: must be a number",
		"on: maybe":                   "f:1:5: on: must be true or false",
		"tags: a":                     "f:1:7: tags: must be a list of text",
		"racks: [a]":                  "f:1:8: racks: must be a mapping from a name to a list of text",
		"racks: {a: [], a: []}":       "f:1:16: racks.a: key given twice",
		"racks: {a: [1]}":             "f:1:13: racks.a[0]: must be text",
		"[]":                          "f:1:1: must be a mapping with the keys name, wait",
		"<<: {name: a}":               "f:1:1: <<: unknown key",
		"name: \"a":                   "f:1:1: not YAML: found unexpected end of stream",
	} {
		_, errs := Decode("f", []byte(in), &sample{})
		if !strings.Contains(errs.Error(), want) {
			t.Errorf("%q: got %v, want %s", in, errs, want)
		}
	}
}

// FuzzDecode searches for input on which Decode panics or returns an error
// without a position or text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\nracks: {r: [a, b]}\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, errs := Decode("f", data, &sample{})
		for _, e := range errs {
			if e.Line < 1 || e.Problem == "" {
				t.Errorf("error without a position or problem: %+v", e)
			}
		}
	})
}

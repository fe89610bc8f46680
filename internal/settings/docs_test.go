package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestEveryValueIsDescribedAndDocumented checks that Values, the table of
// fields, the defaults and docs/SETTINGS.md agree.
func TestEveryValueIsDescribedAndDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	defaults := Defaults()
	described := map[string]bool{}
	for i := range fields {
		f := &fields[i]
		described[f.name] = true
		value, set := f.text(&defaults)
		if !set || !f.valid(&defaults) {
			t.Errorf("%s has no valid default", f.name)
		}
		row := fmt.Sprintf("| `%s` | %s | %s | %s |", f.name, f.scope, f.allowed, value)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/SETTINGS.md lacks a row that begins with\n%s", row)
		}
	}
	values := reflect.TypeOf(Values{})
	for i := range values.NumField() {
		name, _, _ := strings.Cut(values.Field(i).Tag.Get("yaml"), ",")
		if !described[name] {
			t.Errorf("%s is not inherited or checked: it is missing from fields", name)
		}
	}
}

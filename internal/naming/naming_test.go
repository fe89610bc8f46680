package naming

import (
	"strings"
	"testing"
)

func TestValidRejectsNamesOutsideTheRule(t *testing.T) {
	for name, want := range map[string]bool{
		"kano-01": true, "7": true, strings.Repeat("a", MaxLength): true,
		"": false, "-a": false, "a-": false, "A": false, "a_b": false, "a.b": false, "é": false,
		strings.Repeat("a", MaxLength+1): false,
	} {
		if Valid(name) != want {
			t.Errorf("Valid(%q) is %v, want %v", name, !want, want)
		}
	}
}

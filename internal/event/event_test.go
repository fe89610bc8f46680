package event

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogueMatchesCode fails if the table in docs/EVENTS.md and the
// registered events differ in the number, level, message or order of an event.
func TestCatalogueMatchesCode(t *testing.T) {
	file, err := os.Open("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var documented []string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		cells := strings.Split(lines.Text(), "|")
		if len(cells) < 5 || strings.Trim(cells[1], " 0123456789") != "" || strings.TrimSpace(cells[1]) == "" {
			continue
		}
		documented = append(documented, fmt.Sprintf("%s %s %s",
			strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])))
	}
	var registered []string
	for _, e := range All() {
		registered = append(registered, fmt.Sprintf("%d %s %s", e.Number, e.Level, e.Message))
	}
	if diff := cmp.Diff(registered, documented); diff != "" {
		t.Errorf("docs/EVENTS.md differs from the code (-code +docs):\n%s", diff)
	}
}

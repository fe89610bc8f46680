package test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestOperatorsRace guards against lost or doubly accepted changes of the
// settings. Operators change the same version concurrently, through different
// controls and while the table loses answers: exactly one change must be
// accepted, the others must be refused because the version changed, and the
// accepted change must come into force at every process.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := startFleet(t, smallTree)
	servers := []string{f.controls[0].admin(t), f.controls[1].admin(t)}
	const operators = 6
	files := make([]string, operators)
	for i := range files {
		files[i] = changedTree(t, "name: stock,", fmt.Sprintf("name: stock-%d,", i))
	}
	f.put("/faults/table", standin.Faults{LoseAnswers: 3 * operators})
	outs, codes := make([]string, operators), make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			outs[i], codes[i] = f.cliAt(servers[i%len(servers)], "settings", "apply", files[i], "--expect", "1")
		})
	}
	wg.Wait()
	var accepted []int
	for i, out := range outs {
		switch {
		case codes[i] == 0 && strings.Contains(out, "accepted as version 2"):
			accepted = append(accepted, i)
		case codes[i] != 1 || !strings.Contains(out, "settings are at version 2, expected 1"):
			t.Errorf("operator %d got neither acceptance nor a version conflict: exit %d: %s", i, codes[i], out)
		}
	}
	if len(accepted) != 1 {
		t.Fatalf("the changes of operators %v were accepted, want exactly one", accepted)
	}
	f.wantInForce(files[accepted[0]], 2)
}

// wantInForce fails the test unless the settings file is accepted as the given
// version and every process adopts that version.
func (f *fleet) wantInForce(file string, version uint64) {
	f.t.Helper()
	tree, err := os.ReadFile(file)
	if err != nil {
		f.t.Fatal(err)
	}
	if now := f.settings(); now.Version != version || now.YAML != string(tree) {
		f.t.Errorf("version %d is in force, want version %d with the accepted settings, got:\n%s", now.Version, version, now.YAML)
	}
	f.wantVersionEverywhere(version)
}

package event

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestNoProofNamesAMissingTest fails if docs/PROOFS.md cites a test or fuzz
// target that no test file declares, such as one that was renamed since.
func TestNoProofNamesAMissingTest(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	err = filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`).FindAllString(string(page), -1) {
		if !strings.Contains(code.String(), "func "+name+"(") {
			t.Errorf("docs/PROOFS.md names %s, which no test file declares", name)
		}
	}
}

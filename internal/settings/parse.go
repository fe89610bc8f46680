package settings

import (
	"bytes"

	"go.yaml.in/yaml/v3"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// Error is one error in a tree, with its position, its path and what is allowed
// there.
type Error = strictyaml.Error

// Errors holds all errors in a tree.
type Errors = strictyaml.Errors

// Parse decodes a tree and checks all of it. Its error is of type Errors and
// holds every error, not only the first; file is the file name in them.
func Parse(file string, data []byte) (*Tree, error) {
	tree := &Tree{}
	doc, errs := strictyaml.Decode(file, data, tree)
	if doc == nil {
		return nil, errs
	}
	r := newResolver(tree)
	r.resolve()
	decodeErrs := errs
	for _, p := range r.problems {
		checkErr := doc.Errorf(p.path, "%s", p.text)
		if !hasErrorAt(decodeErrs, checkErr) {
			errs = append(errs, checkErr)
		}
	}
	errs.Sort()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// hasErrorAt reports whether errs has an error at the position of checkErr. A
// value that could not be decoded also fails its check and must not be reported
// twice.
func hasErrorAt(errs Errors, checkErr Error) bool {
	for _, e := range errs {
		if e.Path == checkErr.Path && e.Line == checkErr.Line {
			return true
		}
	}
	return false
}

// Encode writes a tree as YAML, from which Parse returns an equal tree.
func Encode(tree *Tree) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(tree); err != nil {
		return nil, operr.Wrap(err, "settings: encode tree", "")
	}
	return b.Bytes(), nil
}

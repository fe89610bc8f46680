package settings

import (
	"bytes"

	"go.yaml.in/yaml/v3"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/strictyaml"
)

// Error is one fault of a tree, with its position, its path and what is
// allowed there.
type Error = strictyaml.Error

// Errors are all faults of a tree.
type Errors = strictyaml.Errors

// Parse reads a tree and checks it whole. Its error is of type Errors and
// holds every fault, not only the first; file names the file in them.
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
		fault := doc.Errorf(p.path, "%s", p.text)
		if !hasErrorAt(decodeErrs, fault) {
			errs = append(errs, fault)
		}
	}
	errs.Sort()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// hasErrorAt says whether a fault has the position of one found in decoding: a
// value that could not be decoded also fails its check.
func hasErrorAt(errs Errors, fault Error) bool {
	for _, e := range errs {
		if e.Path == fault.Path && e.Line == fault.Line {
			return true
		}
	}
	return false
}

// Encode writes a tree as YAML that Parse reads back to an equal tree.
func Encode(tree *Tree) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(tree); err != nil {
		return nil, operr.Wrap(err, "settings: encode tree", "")
	}
	return b.Bytes(), nil
}

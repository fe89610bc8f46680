package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Decode reads data into out, a pointer to a struct whose fields have yaml
// tags; an embedded struct has the option "inline". Unknown and repeated keys,
// values of the wrong type, anchors, aliases and further documents are errors.
// The returned errors are sorted by position; file is the file name in them.
// The document is nil if data is not a YAML mapping.
func Decode(file string, data []byte, out any) (*Document, Errors) {
	root, err := parse(file, data)
	if err != nil {
		return nil, Errors{*err}
	}
	d := &decoder{file: file}
	d.decodeValue(root, "", reflect.ValueOf(out).Elem())
	d.errs.Sort()
	if root.Kind != yaml.MappingNode {
		return nil, d.errs
	}
	return &Document{file: file, root: root}, d.errs
}

// lineInMessage matches the line number in an error message of the YAML
// library.
var lineInMessage = regexp.MustCompile(`line (\d+): `)

// parse returns the root node of a file that must hold a single document.
func parse(file string, data []byte) (*yaml.Node, *Error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) || (err == nil && len(doc.Content) == 0) {
		return nil, &Error{File: file, Line: 1, Column: 1, Problem: "the file is empty"}
	}
	if err != nil {
		return nil, syntaxError(file, err)
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, syntaxError(file, err)
		}
		return nil, &Error{File: file, Line: next.Line, Column: 1, Problem: "a second document; one document is allowed"}
	}
	return doc.Content[0], nil
}

// syntaxError converts an error of the YAML library to an Error. Without a line
// number in its message, the position is the start of the file.
func syntaxError(file string, err error) *Error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	e := &Error{File: file, Line: 1, Column: 1}
	if m := lineInMessage.FindStringSubmatch(text); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	e.Problem = "not YAML: " + text
	return e
}

// decoder collects the errors of one file.
type decoder struct {
	file string
	errs Errors
}

// errorf records an error at the position of a node.
func (d *decoder) errorf(n *yaml.Node, path, format string, args ...any) {
	d.errs = append(d.errs, Error{
		File: d.file, Line: n.Line, Column: n.Column,
		Path: path, Problem: fmt.Sprintf(format, args...),
	})
}

var durationType = reflect.TypeOf(time.Duration(0))

// decodeValue decodes a node into out, by the kind of out.
func (d *decoder) decodeValue(n *yaml.Node, path string, out reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.errorf(n, path, "anchors and aliases are not allowed; write the value out")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		d.errorf(n, path, "no value; give %s or leave the key out", describeType(out.Type()))
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		d.decodeValue(n, path, out.Elem())
	case reflect.Struct:
		d.decodeStruct(n, path, out)
	case reflect.Slice:
		d.decodeSlice(n, path, out)
	case reflect.Map:
		d.decodeMap(n, path, out)
	default:
		d.decodeScalar(n, path, out)
	}
}

// decodeStruct decodes a mapping into a struct.
func (d *decoder) decodeStruct(n *yaml.Node, path string, out reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.errorf(n, path, "must be a mapping with the keys %s", strings.Join(keys(out.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := joinKey(path, key.Value)
		field, ok := fieldByKey(out, key.Value)
		switch {
		case !ok:
			d.errorf(key, at, "unknown key; allowed here: %s", strings.Join(keys(out.Type()), ", "))
		case seen[key.Value]:
			d.errorf(key, at, "key given twice; give it once")
		default:
			d.decodeValue(n.Content[i+1], at, field)
		}
		seen[key.Value] = true
	}
}

// decodeSlice decodes a sequence into a slice.
func (d *decoder) decodeSlice(n *yaml.Node, path string, out reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.errorf(n, path, "must be a list of %s", describeType(out.Type().Elem()))
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.decodeValue(item, joinItem(path, item, i), out.Index(i))
	}
}

// decodeMap decodes a mapping with arbitrary keys into a map.
func (d *decoder) decodeMap(n *yaml.Node, path string, out reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.errorf(n, path, "must be a mapping from a name to %s", describeType(out.Type().Elem()))
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := reflect.ValueOf(n.Content[i].Value)
		at := joinKey(path, n.Content[i].Value)
		if out.MapIndex(key).IsValid() {
			d.errorf(n.Content[i], at, "key given twice; give it once")
			continue
		}
		elem := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(n.Content[i+1], at, elem)
		out.SetMapIndex(key, elem)
	}
}

// decodeScalar decodes a string, boolean, number or duration.
func (d *decoder) decodeScalar(n *yaml.Node, path string, out reflect.Value) {
	if n.Kind != yaml.ScalarNode || !setScalar(n, out) {
		d.errorf(n, path, "must be %s", describeType(out.Type()))
	}
}

// setScalar sets out to the value of the node and reports whether the node has
// the type of out.
func setScalar(n *yaml.Node, out reflect.Value) bool {
	if out.Type() == durationType {
		v, err := time.ParseDuration(n.Value)
		out.SetInt(int64(v))
		return err == nil
	}
	switch out.Kind() {
	case reflect.String:
		out.SetString(n.Value)
		return n.Tag == "!!str"
	case reflect.Bool:
		var v bool
		err := n.Decode(&v)
		out.SetBool(v)
		return err == nil && n.Tag == "!!bool"
	case reflect.Int, reflect.Int64:
		var v int64
		err := n.Decode(&v)
		out.SetInt(v)
		return err == nil && n.Tag == "!!int"
	case reflect.Float64:
		var v float64
		err := n.Decode(&v)
		out.SetFloat(v)
		return err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return false
}

// describeType describes the values of a type for error messages.
func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 250ms, 30s or 1176h"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Struct:
		return "a mapping with the keys " + strings.Join(keys(t), ", ")
	case reflect.Slice:
		return "a list of " + describeType(t.Elem())
	case reflect.Map:
		return "a mapping"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "text (quote it where YAML would read a number or a boolean)"
}

// keys returns the keys that are allowed in the mapping of a struct type.
func keys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		name, inline := keyOf(t.Field(i))
		switch {
		case inline:
			names = append(names, keys(t.Field(i).Type)...)
		case name != "":
			names = append(names, name)
		}
	}
	return names
}

// fieldByKey returns the field of a struct with the key, and false if there is
// none.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		name, inline := keyOf(t.Field(i))
		if inline {
			if field, ok := fieldByKey(v.Field(i), key); ok {
				return field, true
			}
		}
		if name != "" && name == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// keyOf returns the key in the yaml tag of a field, or "" for a field without
// one, and whether the keys of the field's struct belong to the parent's
// mapping (the option "inline").
func keyOf(f reflect.StructField) (name string, inline bool) {
	name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return "", false
	}
	return name, options == "inline"
}

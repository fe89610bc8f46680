package strictyaml

import (
	"fmt"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Path identifies a value in a document. A nil Path is the document itself.
type Path struct {
	parent *Path
	key    string
	index  int
}

// Key returns the path of a key below p.
func (p *Path) Key(key string) *Path { return &Path{parent: p, key: key, index: -1} }

// Item returns the path of the list item at the index below p.
func (p *Path) Item(index int) *Path { return &Path{parent: p, index: index} }

// Document is a parsed YAML file. It provides the positions of errors that are
// found after decoding.
type Document struct {
	file string
	root *yaml.Node
}

// Errorf returns an error at the path. If the file doesn't contain the path,
// the error has the position of the nearest parent that it contains. With a nil
// document the error has no position.
func (d *Document) Errorf(path *Path, format string, args ...any) Error {
	e := Error{Problem: fmt.Sprintf(format, args...)}
	var root *yaml.Node
	if d != nil {
		e.File, root = d.file, d.root
	}
	node, text := locate(root, path)
	e.Path = text
	if node != nil {
		e.Line, e.Column = node.Line, node.Column
	}
	return e
}

// locate returns the node at the path, or else its nearest parent, and the path
// as text. The node is nil if root is.
func locate(root *yaml.Node, path *Path) (*yaml.Node, string) {
	if path == nil {
		return root, ""
	}
	parent, text := locate(root, path.parent)
	if path.index >= 0 {
		return locateItem(parent, text, path.index)
	}
	text = joinKey(text, path.key)
	if parent != nil && parent.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(parent.Content); i += 2 {
			if parent.Content[i].Value == path.key {
				return parent.Content[i+1], text
			}
		}
	}
	return parent, text
}

// locateItem returns the list item at the index, or else the list, and its path
// as text.
func locateItem(list *yaml.Node, text string, index int) (*yaml.Node, string) {
	if list == nil || list.Kind != yaml.SequenceNode || index >= len(list.Content) {
		return list, joinItem(text, nil, index)
	}
	item := list.Content[index]
	return item, joinItem(text, item, index)
}

// joinKey appends a key to a path.
func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// joinItem appends a list item to a path, by the value of its key "name" if it
// has one, and else by its index.
func joinItem(path string, item *yaml.Node, index int) string {
	if item != nil && item.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(item.Content); i += 2 {
			if item.Content[i].Value == "name" && item.Content[i+1].Value != "" {
				return path + "[" + item.Content[i+1].Value + "]"
			}
		}
	}
	return path + "[" + strconv.Itoa(index) + "]"
}

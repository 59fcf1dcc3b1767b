package quest

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Issue is one answer that can't stand, with its place and a remedy.
type Issue struct {
	Line    int // 0 if the answer is missing altogether
	Field   string
	Message string
	Remedy  string
}

// String writes a fault on one line.
func (f Issue) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s; %s", f.Field, f.Message, f.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", f.Line, f.Field, f.Message, f.Remedy)
}

// finder tells on which line a field stands.
type finder struct {
	file *ast.File
}

func newFinder(data []byte) (finder, error) {
	file, err := parser.ParseBytes(data, 0)
	return finder{file}, err
}

// line returns the line of a field, or 0 for one that is not there.
func (f finder) line(field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(f.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

package quest

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Issue is an invalid or contradictory answer, with its field, its line and a remedy.
type Issue struct {
	Line    int // 0 if the answer is missing altogether
	Field   string
	Message string
	Remedy  string
}

// String returns the issue on one line.
func (i Issue) String() string {
	if i.Line == 0 {
		return fmt.Sprintf("%s: %s; %s", i.Field, i.Message, i.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", i.Line, i.Field, i.Message, i.Remedy)
}

// lineFinder finds the lines of fields in a YAML file.
type lineFinder struct {
	file *ast.File
}

func newLineFinder(data []byte) (lineFinder, error) {
	file, err := parser.ParseBytes(data, 0)
	return lineFinder{file}, err
}

// line returns the line of a field, or 0 if the file does not have the field.
func (f lineFinder) line(field string) int {
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

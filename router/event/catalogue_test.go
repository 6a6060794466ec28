package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	eventRow = regexp.MustCompile(`(?m)^\| (\d{4}) \| ([^|]+) \|`)
)

// declaredEvents returns the texts of the events that the package declares, by event number.
func declaredEvents(t *testing.T) map[int]string {
	is := is.New(t)
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	events := make(map[int]string)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		is.NoErr(err)
		ast.Inspect(tree, func(n ast.Node) bool {
			literal, ok := n.(*ast.CompositeLit)
			if !ok || len(literal.Elts) != 2 {
				return true
			}
			if name, ok := literal.Type.(*ast.Ident); !ok || name.Name != "Event" {
				return true
			}
			number, err := strconv.Atoi(literalValue(literal.Elts[0]))
			is.NoErr(err)
			text, err := strconv.Unquote(literalValue(literal.Elts[1]))
			is.NoErr(err)
			_, duplicate := events[number]
			is.True(!duplicate) // each number is declared once
			events[number] = text
			return true
		})
	}
	return events
}

// literalValue returns the source text of the literal in a field such as Number: 1001. It returns the empty string
// if the field is not such a literal.
func literalValue(e ast.Expr) string {
	field, ok := e.(*ast.KeyValueExpr)
	if !ok {
		return ""
	}
	literal, ok := field.Value.(*ast.BasicLit)
	if !ok {
		return ""
	}
	return literal.Value
}

func TestDocsListEachEvent(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	documented := make(map[int]string)
	for _, match := range eventRow.FindAllStringSubmatch(string(content), -1) {
		number, err := strconv.Atoi(match[1])
		is.NoErr(err)
		documented[number] = match[2]
	}
	events := declaredEvents(t)
	is.True(len(events) > 0)
	for number, text := range events {
		if documented[number] != text {
			t.Errorf("event %d is %q, docs/EVENTS.md has %q", number, text, documented[number])
		}
	}
	for number := range documented {
		if _, found := events[number]; !found {
			t.Errorf("docs/EVENTS.md has event %d, which the code does not declare", number)
		}
	}
}

package settings_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// fields returns the JSON names of the tagged fields of all structs in a Go file.
func fields(t *testing.T, file string) []string {
	is := is.New(t)
	tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	is.NoErr(err)
	var names []string
	ast.Inspect(tree, func(n ast.Node) bool {
		field, ok := n.(*ast.Field)
		if !ok || field.Tag == nil {
			return true
		}
		tag, err := strconv.Unquote(field.Tag.Value)
		is.NoErr(err)
		name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
		names = append(names, name)
		return true
	})
	return names
}

// TestDocsListEachField checks that each section of docs/SETTINGS.md names every field of its settings.
func TestDocsListEachField(t *testing.T) {
	content, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := make(map[string]string)
	for _, section := range strings.Split(string(content), "\n## ")[1:] {
		title, body, _ := strings.Cut(section, "\n")
		sections[title] = body
	}
	files := map[string]string{
		"Every process": "settings.go",
		"Entry":         "../../entry/settings.go",
		"Sidecar":       "../../sidecar/settings.go",
		"Configuration": "../configuration/configuration.go",
		"Manifest":      "../configuration/manifest.go",
		"VM list":       "../vm/vm.go",
	}
	for title, file := range files {
		t.Run(title, func(t *testing.T) {
			names := fields(t, file)
			is.New(t).True(len(names) > 0)
			for _, name := range names {
				if !strings.Contains(sections[title], "`"+name+"`") {
					t.Errorf("section %q of docs/SETTINGS.md does not list `%s`", title, name)
				}
			}
		})
	}
}

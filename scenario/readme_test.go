package scenario

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/entry"
	"gooseberrypin.example/sidecar"
)

// testOnly are settings that operators never use.
var testOnly = []string{"naive"}

// TestSettingsInReadme holds the table of settings against the programs.
func TestSettingsInReadme(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../README.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(content), "## Settings")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	var documented []string
	for line := range strings.SplitSeq(section, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cell := strings.Split(line, "|")[1]
		for _, match := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cell, -1) {
			documented = append(documented, match[1])
		}
	}
	known := append(fields(reflect.TypeFor[entry.Settings]()), fields(reflect.TypeFor[sidecar.Settings]())...)
	slices.Sort(known)
	slices.Sort(documented)
	is.Equal(documented, slices.Compact(known)) // README.md and the programs name the same settings
}

// fields returns the JSON names of a settings type.
func fields(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		if f.Anonymous {
			names = append(names, fields(f.Type)...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !slices.Contains(testOnly, name) {
			names = append(names, name)
		}
	}
	return names
}

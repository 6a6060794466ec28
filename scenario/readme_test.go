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

// testOnly lists settings that only tests use. README.md does not document them.
var testOnly = []string{"naive"}

// TestSettingsInReadme checks that the table of settings in README.md lists the settings of the programs.
func TestSettingsInReadme(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../README.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(content), "## Settings")
	is.True(found) // README.md has a section "Settings"
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
	settings := append(settingNames(reflect.TypeFor[entry.Settings]()), settingNames(reflect.TypeFor[sidecar.Settings]())...)
	slices.Sort(settings)
	slices.Sort(documented)
	is.Equal(documented, slices.Compact(settings)) // README.md lists the settings of the programs
}

// settingNames returns the JSON names of the fields of a settings type, embedded structs included, without
// those in testOnly.
func settingNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		if f.Anonymous {
			names = append(names, settingNames(f.Type)...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !slices.Contains(testOnly, name) {
			names = append(names, name)
		}
	}
	return names
}

package scenario

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	knownRedFile = "../KNOWN-RED.txt"
)

type (
	// knownRedT is a test that KNOWN-RED.txt lists. A failure is logged and does not fail the test.
	knownRedT struct {
		*testing.T
	}
)

// scriptPathPattern matches the path of a script in KNOWN-RED.txt and captures its file name.
var scriptPathPattern = regexp.MustCompile(`scenario/testdata/(\w+\.txtar)`)

// TestKnownRed runs the scripts that KNOWN-RED.txt lists and logs whether each one passes. A script that
// fails does not fail the test.
func TestKnownRed(t *testing.T) {
	for _, name := range knownRedScripts(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failed, log := runRecorded(shared.params([]string{scriptDirectory + "/" + name}, shared.disabledMechanisms))
			if !failed {
				t.Logf("KNOWN-RED %s: passed", name)
				return
			}
			t.Logf("KNOWN-RED %s: failed\n%s", name, failureDetail(log))
		})
	}
}

// knownRedScripts returns the file names of the scripts that KNOWN-RED.txt lists, each name once.
func knownRedScripts(t *testing.T) []string {
	content, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range scriptPathPattern.FindAllStringSubmatch(string(content), -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return names
}

// failureDetail returns the part of a script's log that follows "FAIL: ", or the complete log if there is none.
func failureDetail(log string) string {
	_, failure, found := strings.Cut(log, "FAIL: ")
	if !found {
		return log
	}
	return strings.TrimSpace(failure)
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// tolerateKnownRed returns the test to which assertions report. If KNOWN-RED.txt names the test, a failed
// assertion is logged and ends the test as skipped.
func tolerateKnownRed(t *testing.T) is.T {
	content, err := os.ReadFile(knownRedFile)
	if err != nil || !regexp.MustCompile(`\b`+t.Name()+`\b`).Match(content) {
		return t
	}
	return &knownRedT{T: t}
}

// Fail implements is.T.
func (k *knownRedT) Fail() {
	k.Logf("KNOWN-RED %s: failed", k.Name())
}

// FailNow implements is.T.
func (k *knownRedT) FailNow() {
	k.Fail()
	k.SkipNow()
}

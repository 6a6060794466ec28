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
	// knownFailure is a test whose failure stands in KNOWN-RED.txt.
	knownFailure struct {
		*testing.T
	}
)

var scriptInEntry = regexp.MustCompile(`scenario/testdata/(\w+\.txtar)`)

// TestKnownRed runs the scripts that KNOWN-RED.txt lists and prints how each one ends.
// Their failure does not fail the test.
func TestKnownRed(t *testing.T) {
	for _, name := range knownRed(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failed, log := runRecorded(shared.params([]string{scripts + "/" + name}, shared.naive))
			if !failed {
				t.Logf("KNOWN-RED %s: passed this time", name)
				return
			}
			t.Logf("KNOWN-RED %s: failed\n%s", name, lastFailure(log))
		})
	}
}

// knownRed lists the scripts in KNOWN-RED.txt.
func knownRed(t *testing.T) []string {
	content, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range scriptInEntry.FindAllStringSubmatch(string(content), -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return names
}

// lastFailure returns the part of a log that tells what failed.
func lastFailure(log string) string {
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

// judge returns what a test's assertions report to. A failure of a test that
// KNOWN-RED.txt names is printed and does not fail the run.
func judge(t *testing.T) is.T {
	content, err := os.ReadFile(knownRedFile)
	if err != nil || !regexp.MustCompile(`\b`+t.Name()+`\b`).Match(content) {
		return t
	}
	return &knownFailure{T: t}
}

// Fail implements is.T.
func (k *knownFailure) Fail() {
	k.Logf("KNOWN-RED %s: failed", k.Name())
}

// FailNow implements is.T.
func (k *knownFailure) FailNow() {
	k.Fail()
	k.SkipNow()
}

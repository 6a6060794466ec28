package gooseberryctl_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	callerv1 "gooseberrypin.example/gen/caller/v1"
)

func TestOperationsListsEachReason(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for number, name := range callerv1.Reason_name {
		if number != 0 && !strings.Contains(string(content), "| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md does not list %s", name)
		}
	}
}

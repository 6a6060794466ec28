package gooseberryctl_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	"gooseberrypin.example/gooseberryctl"
	"gooseberrypin.example/router/gateway"
	"gooseberrypin.example/router/reservation"
	"gooseberrypin.example/router/upstream"
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

// Guards against flags and states of explain that docs/OPERATIONS.md does not list.
func TestOperationsListsFlagsAndStatesOfExplain(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(content), "## Ask where a request would go")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	var names []string
	request := reflect.TypeFor[gooseberryctl.EntryRequest]()
	for i := range request.NumField() {
		words := regexp.MustCompile(`[A-Z][a-z]+`).FindAllString(request.Field(i).Name, -1)
		names = append(names, "--"+strings.ToLower(strings.Join(words, "-")))
	}
	for _, c := range []upstream.Condition{upstream.Usable, upstream.Draining, upstream.Leaving, upstream.Replaced, upstream.Paused, upstream.Ejected} {
		names = append(names, string(c))
	}
	for _, o := range []reservation.Obstacle{reservation.AttemptInFlight, reservation.Avoided, reservation.LeftToLarge, reservation.LacksMemory} {
		names = append(names, string(o))
	}
	for _, name := range append(names, gateway.Limited, gateway.AtPaceLimit) {
		if !strings.Contains(section, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not list %s", name)
		}
	}
}

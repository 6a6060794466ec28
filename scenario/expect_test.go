package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxShownBytes limits how much of each document a failure message contains.
	maxShownBytes = 2000
)

type (
	// expectation is a parsed expect command.
	expectation struct {
		// kind is the kind of document, such as "state" or "answer".
		kind string
		// name is the process or request that the documents are about, or a list of them joined by commas.
		name       string
		conditions []Condition
		// within is the time limit by which the conditions must hold.
		within time.Duration
		// holdFor is the time for which the conditions must hold at each check. Zero: they must hold once, within
		// the time limit.
		holdFor time.Duration
		// got has, for each condition, a value found by the last check.
		got []string
		// lastDocuments are the documents of the last check.
		lastDocuments [][]byte
	}
)

// cmdExpect waits until all conditions hold. With for=DURATION, it checks instead that they hold during that
// time:
//
//	expect answer|answers|events|state|vars|stats|streams|runs NAME PATH=VALUE... [within=DURATION | for=DURATION]
//	expect reads PATH=VALUE...
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "expect", neg)
	e := parseExpectation(ts, args)
	s := scriptStateOf(ts)
	check := func() bool {
		documents, err := s.documents(e.kind, e.name)
		ts.Check(err)
		return e.holds(documents)
	}
	if e.holdFor > 0 {
		if poll(e.holdFor, func() bool { return !check() }) {
			ts.Fatalf("conditions did not hold for %s: %s", e.holdFor, e)
		}
		return
	}
	start := time.Now()
	if !poll(e.within, check) {
		ts.Fatalf("conditions not met within %s: %s", e.within, e)
	}
	ts.Logf("conditions met after %s", time.Since(start).Round(time.Millisecond))
}

// cmdSave sets an environment variable to the value at a path of a document: save VARIABLE KIND NAME PATH.
func cmdSave(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "save", neg)
	if len(args) != 4 {
		ts.Fatalf("usage: save VARIABLE KIND NAME PATH")
	}
	documents, err := scriptStateOf(ts).documents(args[1], args[2])
	ts.Check(err)
	value, found := Lookup(documents[0], args[3])
	if !found {
		ts.Fatalf("%s %s: no value at path %s: %s", args[1], args[2], args[3], documents[0])
	}
	ts.Setenv(args[0], value)
	ts.Logf("%s=%s", args[0], value)
}

func parseExpectation(ts *testscript.TestScript, args []string) *expectation {
	e := &expectation{within: expectTimeout}
	if len(args) < 2 {
		ts.Fatalf("usage: expect KIND NAME PATH=VALUE...")
	}
	e.kind, args = args[0], args[1:]
	if e.kind != "reads" {
		e.name, args = args[0], args[1:]
	}
	for _, arg := range args {
		var err error
		if d, found := strings.CutPrefix(arg, "within="); found {
			e.within, err = time.ParseDuration(d)
			ts.Check(err)
			continue
		}
		if d, found := strings.CutPrefix(arg, "for="); found {
			e.holdFor, err = time.ParseDuration(d)
			ts.Check(err)
			continue
		}
		c, err := ParseCondition(arg)
		ts.Check(err)
		e.conditions = append(e.conditions, c)
	}
	return e
}

// holds reports whether all conditions hold in all documents. It records the documents and, for each
// condition, the value of a document that does not meet it, for the failure message.
func (e *expectation) holds(documents [][]byte) bool {
	allHold := true
	e.lastDocuments = documents
	e.got = make([]string, len(e.conditions))
	for _, document := range documents {
		for i, c := range e.conditions {
			ok, got := c.Holds(document)
			if !ok {
				allHold = false
				e.got[i] = got
			} else if e.got[i] == "" && len(documents) == 1 {
				e.got[i] = got
			}
		}
	}
	return allHold
}

// String returns the conditions with the values found, and the start of each document.
func (e *expectation) String() string {
	var parts []string
	for i, c := range e.conditions {
		parts = append(parts, fmt.Sprintf("%s%s%s (got %q)", c.Path, c.Operator, c.Value, e.got[i]))
	}
	text := e.kind + " " + e.name + ": " + strings.Join(parts, ", ")
	for _, document := range e.lastDocuments {
		text += "\n" + string(document[:min(len(document), maxShownBytes)])
	}
	return text
}

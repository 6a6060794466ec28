package scenario

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// lengthStep is the step of a path that stands for the length of a list or object.
	lengthStep = "#"
)

var (
	// operators are tried in this order, so that the longer ones match first.
	operators = []string{"!=", "<=", ">=", "~", "="}
)

type (
	// Condition compares the value at a path of a JSON document.
	Condition struct {
		Path     string
		Operator string
		Value    string
	}
)

// ParseCondition reads PATH OPERATOR VALUE, written without spaces. The operators are
// =, !=, <=, >= and ~ (contains).
func ParseCondition(text string) (Condition, error) {
	first, at := "", len(text)
	for _, o := range operators {
		if n := strings.Index(text, o); n > 0 && n < at {
			first, at = o, n
		}
	}
	if first == "" {
		return Condition{}, eris.Errorf("condition %q: no operator", text)
	}
	return Condition{Path: text[:at], Operator: first, Value: text[at+len(first):]}, nil
}

// Holds tells whether a document fulfils the condition, and the value that it has.
func (c Condition) Holds(document []byte) (bool, string) {
	have, found := Look(document, c.Path)
	switch c.Operator {
	case "=":
		return have == c.Value, have
	case "!=":
		return have != c.Value, have
	case "~":
		return strings.Contains(have, c.Value), have
	}
	a, errA := strconv.ParseFloat(have, 64)
	b, errB := strconv.ParseFloat(c.Value, 64)
	if !found || errA != nil || errB != nil {
		return false, have
	}
	if c.Operator == "<=" {
		return a <= b, have
	}
	return a >= b, have
}

// Look returns the value at a path of names, list positions and "#" for a length.
func Look(document []byte, path string) (string, bool) {
	var value any
	if json.Unmarshal(document, &value) != nil {
		return "", false
	}
	for step := range strings.SplitSeq(path, ".") {
		var found bool
		if value, found = descend(value, step); !found {
			return "", false
		}
	}
	if text, ok := value.(string); ok {
		return text, true
	}
	content, err := json.Marshal(value)
	return string(content), err == nil
}

func descend(value any, step string) (any, bool) {
	switch v := value.(type) {
	case map[string]any:
		if step == lengthStep {
			return len(v), true
		}
		next, found := v[step]
		return next, found
	case []any:
		if step == lengthStep {
			return len(v), true
		}
		n, err := strconv.Atoi(step)
		if err != nil || n < 0 || n >= len(v) {
			return nil, false
		}
		return v[n], true
	case nil:
		return 0, step == lengthStep
	}
	return nil, false
}

package scenario

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// lengthStep is the path step that returns the number of elements of a list or object.
	lengthStep = "#"
)

var (
	// operators lists longer operators first, so that "<=" is not parsed as "=".
	operators = []string{"!=", "<=", ">=", "~", "="}
)

type (
	// Condition compares the value at a path of a JSON document with a constant.
	Condition struct {
		Path     string
		Operator string
		Value    string
	}
)

// ParseCondition parses a condition of the form PATH OPERATOR VALUE, without spaces between them. The
// operators are =, !=, <=, >= and ~ (contains). It returns an error if the text has no operator.
func ParseCondition(text string) (Condition, error) {
	operator, position := "", len(text)
	for _, o := range operators {
		if n := strings.Index(text, o); n > 0 && n < position {
			operator, position = o, n
		}
	}
	if operator == "" {
		return Condition{}, eris.Errorf("condition %q: missing operator", text)
	}
	return Condition{Path: text[:position], Operator: operator, Value: text[position+len(operator):]}, nil
}

// Holds reports whether a document meets the condition, and returns the value at the path. A missing
// value is the empty string. The operators <= and >= compare numbers and do not hold for other values.
func (c Condition) Holds(document []byte) (bool, string) {
	got, found := Lookup(document, c.Path)
	switch c.Operator {
	case "=":
		return got == c.Value, got
	case "!=":
		return got != c.Value, got
	case "~":
		return strings.Contains(got, c.Value), got
	}
	a, errA := strconv.ParseFloat(got, 64)
	b, errB := strconv.ParseFloat(c.Value, 64)
	if !found || errA != nil || errB != nil {
		return false, got
	}
	if c.Operator == "<=" {
		return a <= b, got
	}
	return a >= b, got
}

// Lookup returns the value at a path and reports whether it exists. The steps of a path are separated by
// dots. A step is a name in an object, a position in a list, or "#" for the number of elements. Strings are
// returned as they are, other values as JSON.
func Lookup(document []byte, path string) (string, bool) {
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

// descend returns the value one path step below value. Null has the length 0.
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

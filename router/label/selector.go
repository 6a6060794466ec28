// Package label matches upstreams by their labels.
package label

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	opExists operator = iota + 1
	opAbsent
	opEqual
	opNotEqual
	opIn
	opNotIn
)

type (
	// Labels are the key-value pairs of an upstream.
	Labels map[string]string

	// Selector is a conjunction of requirements. The zero selector matches nothing.
	Selector struct {
		text         string
		requirements []requirement
	}

	operator int

	requirement struct {
		text     string
		key      string
		operator operator
		values   []string
	}
)

// Parse parses a selector: requirements separated by commas. A requirement has the form key, !key, key=v, key!=v,
// key in (a,b) or key notin (a,b).
func Parse(text string) (Selector, error) {
	s := Selector{text: text}
	for _, part := range splitRequirements(text) {
		r, err := parseRequirement(strings.TrimSpace(part))
		if err != nil {
			return Selector{}, err
		}
		r.text = strings.TrimSpace(part)
		s.requirements = append(s.requirements, r)
	}
	return s, nil
}

// String returns the text that the selector was parsed from.
func (s Selector) String() string {
	return s.text
}

// Matches reports whether the labels meet all requirements.
func (s Selector) Matches(l Labels) bool {
	if len(s.requirements) == 0 {
		return false
	}
	for _, r := range s.requirements {
		if !r.matches(l) {
			return false
		}
	}
	return true
}

// Unmet returns the text of each requirement that the labels do not meet.
func (s Selector) Unmet(l Labels) []string {
	unmet := []string{}
	for _, r := range s.requirements {
		if !r.matches(l) {
			unmet = append(unmet, r.text)
		}
	}
	return unmet
}

func (r requirement) matches(l Labels) bool {
	value, found := l[r.key]
	switch r.operator {
	case opExists:
		return found
	case opAbsent:
		return !found
	case opEqual, opIn:
		return found && slices.Contains(r.values, value)
	case opNotEqual, opNotIn:
		return !found || !slices.Contains(r.values, value)
	}
	return false
}

// splitRequirements splits the text at commas outside of parentheses.
func splitRequirements(text string) []string {
	var parts []string
	depth, start := 0, 0
	for i, c := range text {
		switch {
		case c == '(':
			depth++
		case c == ')':
			depth--
		case c == ',' && depth == 0:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	return append(parts, text[start:])
}

func parseRequirement(text string) (requirement, error) {
	if key, found := strings.CutPrefix(text, "!"); found {
		return validated(requirement{key: strings.TrimSpace(key), operator: opAbsent}, text)
	}
	if key, value, found := strings.Cut(text, "!="); found {
		return validated(singleValue(key, opNotEqual, value), text)
	}
	if key, value, found := strings.Cut(text, "="); found {
		return validated(singleValue(key, opEqual, value), text)
	}
	if fields := strings.Fields(text); len(fields) > 1 {
		return parseSet(fields, text)
	}
	return validated(requirement{key: text, operator: opExists}, text)
}

func singleValue(key string, o operator, value string) requirement {
	return requirement{key: strings.TrimSpace(key), operator: o, values: []string{strings.TrimSpace(value)}}
}

func parseSet(fields []string, text string) (requirement, error) {
	r := requirement{key: fields[0]}
	rest := strings.TrimSpace(strings.TrimPrefix(text, fields[0]))
	list, isIn := strings.CutPrefix(rest, "in")
	if isIn {
		r.operator = opIn
	} else {
		var isNotIn bool
		list, isNotIn = strings.CutPrefix(rest, "notin")
		if !isNotIn {
			return r, eris.Errorf("selector: %q has no known operator", text)
		}
		r.operator = opNotIn
	}
	list = strings.TrimSpace(list)
	if !strings.HasPrefix(list, "(") || !strings.HasSuffix(list, ")") {
		return r, eris.Errorf("selector: %q has no values in parentheses", text)
	}
	for _, v := range strings.Split(list[1:len(list)-1], ",") {
		r.values = append(r.values, strings.TrimSpace(v))
	}
	return validated(r, text)
}

// validated returns the requirement, or an error that names the text if the key or a value is not valid.
func validated(r requirement, text string) (requirement, error) {
	if !ValidWord(r.key) {
		return r, eris.Errorf("selector: %q has no valid key", text)
	}
	for _, v := range r.values {
		if !ValidWord(v) {
			return r, eris.Errorf("selector: %q has the invalid value %q", text, v)
		}
	}
	return r, nil
}

// ValidWord reports whether text is a valid label key or value. It must be non-empty and consist of ASCII
// letters, digits, ".", "_", "-" and "/".
func ValidWord(text string) bool {
	if text == "" {
		return false
	}
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("._-/", c) {
			return false
		}
	}
	return true
}

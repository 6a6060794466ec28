package label_test

import (
	"testing"

	"gooseberrypin.example/router/label"
)

// FuzzParse checks that parsing the text of a selector again gives an equivalent selector, and that a selector
// matches exactly when no requirement is unmet.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"a", "!a", "a=b", "a!=b", "a in (b,c)", "a notin (b)", "a=b,c in (d, e),!f", "((", "a in(b", "a,,b"} {
		f.Add(seed, "a", "b")
	}
	f.Fuzz(func(t *testing.T, text, key, value string) {
		s, err := label.Parse(text)
		if err != nil {
			return
		}
		labels := label.Labels{key: value}
		again, err := label.Parse(s.String())
		if err != nil {
			t.Fatal(err)
		}
		matches := s.Matches(labels)
		if again.Matches(labels) != matches {
			t.Fatalf("%q matches differently when parsed again", text)
		}
		if matches != (len(s.Unmet(labels)) == 0) {
			t.Fatalf("%q: matches is %v, unmet is %v", text, matches, s.Unmet(labels))
		}
	})
}

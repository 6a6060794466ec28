package label_test

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/label"
)

func TestSelectorMatches(t *testing.T) {
	labels := label.Labels{"model": "care", "role": "decode"}
	cases := map[string]bool{
		"model":                      true,
		"!model":                     false,
		"!version":                   true,
		"model=care,role=decode":     true,
		"model=care,role=prefill":    false,
		"role!=prefill":              true,
		"version!=2":                 true,
		"role in (prefill, decode)":  true,
		"role notin (prefill)":       true,
		"version in (1)":             false,
		"model in(care),role=decode": true,
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			s, err := label.Parse(text)
			is.NoErr(err)
			is.Equal(s.Matches(labels), want)
		})
	}
}

func TestParseErrors(t *testing.T) {
	for _, text := range []string{"", ",", "a,", "=b", "a=", "a in", "a in b", "a in ()", "a like (b)", "a b", "!"} {
		t.Run(text, func(t *testing.T) {
			_, err := label.Parse(text)
			is.New(t).True(err != nil)
		})
	}
}

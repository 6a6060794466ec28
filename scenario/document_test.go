package scenario

import (
	"testing"

	"github.com/matryer/is"
)

func TestConditionHolds(t *testing.T) {
	document := []byte(`{"a":{"b":[1,{"c":"x"}],"empty":null},"n":12,"t":true}`)
	tests := map[string]struct {
		condition string
		want      bool
	}{
		"number":                {condition: "n=12", want: true},
		"other number":          {condition: "n=13", want: false},
		"at most":               {condition: "n<=12", want: true},
		"at least":              {condition: "n>=13", want: false},
		"text in a list":        {condition: "a.b.1.c=x", want: true},
		"length":                {condition: "a.b.#=2", want: true},
		"length of null":        {condition: "a.empty.#=0", want: true},
		"boolean":               {condition: "t=true", want: true},
		"missing is empty":      {condition: "a.z=", want: true},
		"missing, at most":      {condition: "a.z<=1", want: false},
		"not equal":             {condition: "a.z!=1", want: true},
		"contains":              {condition: "a.b~x", want: true},
		"position out of range": {condition: "a.b.7=x", want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := ParseCondition(test.condition)
			is.NoErr(err)
			got, _ := c.Holds(document)
			is.Equal(got, test.want) // whether the condition holds
		})
	}
}

func TestParseConditionWithoutOperator(t *testing.T) {
	is := is.New(t)
	_, err := ParseCondition("n")
	is.True(err != nil) // a condition without an operator is an error
}

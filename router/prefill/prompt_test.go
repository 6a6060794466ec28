package prefill_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/prefill"
)

func ExampleBlocks() {
	system := strings.Repeat("care", 512)
	one := prefill.Blocks(system + strings.Repeat("wool", 256))
	two := prefill.Blocks(system + strings.Repeat("down", 256))
	fmt.Println(len(one), one[1] == two[1], one[2] == two[2])
	// Output: 3 true false
}

func TestTokens(t *testing.T) {
	for name, test := range map[string]struct {
		prompt string
		want   int
	}{
		"empty":   {prompt: "", want: 1},
		"short":   {prompt: "ab", want: 1},
		"regular": {prompt: strings.Repeat("abcd", 300), want: 300},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(prefill.Tokens(test.prompt), test.want)
		})
	}
}

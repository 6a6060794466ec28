package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quarantine"
)

const (
	// headBytes is the usual limit of request heads.
	headBytes = 16 << 10
)

// A prompt of any length has a content of its own for each part but the last one, and a long ID makes no long name, which
// other entries would be sent.
func TestPartsOfPromptAreTold(t *testing.T) {
	long, longOther := strings.Repeat("x", 4000), strings.Repeat("x", 3999)+"y"
	numbered := make([]string, 3000)
	for n := range numbered {
		numbered[n] = fmt.Sprintf("p%04d", n)
	}
	tests := map[string]struct {
		parts []string
		want  int
	}{
		"no part":        {nil, 0},
		"one part":       {[]string{"a"}, 0},
		"three parts":    {[]string{"a", "b", "c"}, 2},
		"repeated parts": {[]string{"b", "a", "b", "b", "c"}, 2},
		"many parts":     {numbered, len(numbered) - 1},
		"long IDs":       {[]string{long, longOther, "c"}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			names := make(map[string]bool)
			for _, c := range appendPartContents(nil, tt.parts) {
				is.True(c.Part)
				is.True(len(c.Name) <= len(partPrefix)+maxPartName)
				names[c.Name] = true
			}
			is.Equal(len(names), tt.want)
		})
	}
}

// BenchmarkContents measures the contents of the request with the most parts that a head holds.
func BenchmarkContents(b *testing.B) {
	tests := map[string]func(n int) string{
		"distinct": func(n int) string { return fmt.Sprintf("%03x", n) },
		"equal":    func(int) string { return "a" },
	}
	for name, part := range tests {
		b.Run(name, func(b *testing.B) {
			var parts []string
			for length := 0; length < headBytes; length += len(part(0)) + 1 {
				parts = append(parts, part(len(parts)))
			}
			r := &Request{Generation: &Generation{Parts: parts}}
			var contents []quarantine.Content
			b.ReportAllocs()
			for b.Loop() {
				contents = r.contents()
			}
			b.ReportMetric(float64(len(contents)), "contents")
		})
	}
}

package decode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/decode"
)

func TestLimitEstimator(t *testing.T) {
	cases := map[string]struct {
		base    time.Duration
		batches []int
		stall   time.Duration
		want    int
	}{
		"no samples":                 {want: 16},
		"batches of one stream":      {base: 20 * time.Millisecond, batches: []int{1, 1, 1, 1, 1, 1}, want: 16},
		"equal batches":              {base: 20 * time.Millisecond, batches: []int{10, 10, 10, 10}, want: 19},
		"batches of different sizes": {base: 20 * time.Millisecond, batches: []int{1, 10, 20, 30, 5, 25}, want: 34},
		"few samples":                {base: 20 * time.Millisecond, batches: []int{8, 12, 16, 14, 20}, want: 34},
		"batches at the limit":       {base: 20 * time.Millisecond, batches: []int{34, 34, 34, 34, 34, 34}, want: 34},
		"slow engine":                {base: 35 * time.Millisecond, batches: []int{2, 4, 6, 8}, want: 4},
		"stall is ignored": {
			base: 20 * time.Millisecond, batches: []int{8, 12, 16, 14}, stall: 3 * time.Second, want: 34,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := decode.NewLimitEstimator(37 * time.Millisecond)
			for _, b := range c.batches {
				e.Observe(b, c.base+time.Duration(b)*500*time.Microsecond)
			}
			e.Observe(10, c.stall)
			is.New(t).Equal(e.Limit(), c.want)
		})
	}
}

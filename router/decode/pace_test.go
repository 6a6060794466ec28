package decode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/decode"
)

func TestPaceLimit(t *testing.T) {
	step := func(batch int) time.Duration {
		return 20*time.Millisecond + time.Duration(batch)*500*time.Microsecond
	}
	cases := map[string]struct {
		batches []int
		want    int
	}{
		"nothing known":             {nil, 16},
		"one stream only":           {[]int{1, 1, 1, 1, 1, 1}, 16},
		"batches of different size": {[]int{1, 10, 20, 30, 5, 25}, 34},
		"always full":               {[]int{34, 34, 34, 34, 34, 34}, 34},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := decode.NewPace(37 * time.Millisecond)
			for _, b := range c.batches {
				p.Observe(b, step(b))
			}
			is.New(t).Equal(p.Limit(), c.want)
		})
	}
}

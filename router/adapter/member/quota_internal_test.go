package member

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/quota"
)

func TestLimitsOverTheWire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := quota.Limit{Upstream: "d1@1", Stated: true, PerSecond: 2.5, Since: now.Add(-time.Minute), Observed: now.Add(-time.Second)}
	received := fromLimits(toLimits([]quota.Limit{sent, {}}))
	is.Equal(len(received), 1) // a limit without an upstream is omitted
	is.Equal(received[0].PerSecond, 2.5)
	is.True(received[0].Stated)
	is.True(received[0].Since.Sub(sent.Since).Abs() < time.Second)
	is.True(received[0].Observed.Sub(sent.Observed).Abs() < time.Second)
	for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		is.Equal(fromLimit(&fleetv1.UpstreamLimit{PerSecond: invalid}).PerSecond, 0.0)
	}
}

// Any bytes from another process decode to a limit with a usable rate that was not observed in the future.
func FuzzLimit(f *testing.F) {
	for _, m := range []*fleetv1.UpstreamLimit{{}, {Upstream: "d1", Stated: true, PerSecond: 3, SinceMs: 1, AgeMs: 1}, {PerSecond: math.NaN(), SinceMs: math.MinInt64, AgeMs: math.MaxInt64}} {
		content, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var m fleetv1.UpstreamLimit
		if proto.Unmarshal(content, &m) != nil {
			return
		}
		before := time.Now()
		l := fromLimit(&m)
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.Observed.After(before.Add(time.Minute)) {
			t.Errorf("%v decodes to %v", &m, l)
		}
	})
}

package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/speed"
)

// exchanged returns an update as another entry receives it.
func exchanged(t *testing.T, update membership.Update) membership.Update {
	t.Helper()
	is := is.New(t)
	content, err := proto.Marshal(toMessage(update))
	is.NoErr(err)
	var m fleetv1.News
	is.NoErr(proto.Unmarshal(content, &m))
	return fromMessage(&m)
}

func TestSpeedsOverTheWire(t *testing.T) {
	is := is.New(t)
	sent := speed.Sample{Engine: 1<<48 - 7, ID: 1<<32 - 5, Tokens: 3200, PerToken: 30 * time.Microsecond, Observed: time.Now().Add(-1230 * time.Millisecond)}
	received := exchanged(t, membership.Update{Speeds: []speed.Sample{sent}}).Speeds
	is.Equal(len(received), 1)
	is.Equal(received[0].Engine, sent.Engine)
	is.Equal(received[0].ID, sent.ID)
	is.Equal(received[0].Tokens, sent.Tokens)
	is.True((received[0].PerToken - sent.PerToken).Abs() < 30*time.Nanosecond)
	is.True(received[0].Observed.Sub(sent.Observed).Abs() < 500*time.Millisecond)
	is.Equal(len(exchanged(t, membership.Update{}).Speeds), 0)
}

// The samples take only the bytes that the other state leaves, so that a message with the largest state keeps its bound.
// It still has samples.
func TestSpeedsTakeWhatTheOtherStateLeaves(t *testing.T) {
	is := is.New(t)
	update := largestUpdate()
	is.True(len(exchanged(t, update).Speeds) >= 16)
	is.Equal(len(exchanged(t, membership.Update{Speeds: update.Speeds}).Speeds), speed.MaxShared)
	is.True(proto.Size(toMessage(membership.Update{Speeds: update.Speeds})) <= fieldOverhead+speed.MaxShared*sampleBytes)
}

// Any bytes from another process decode to a bounded number of samples that are not from the future.
func FuzzSpeeds(f *testing.F) {
	for _, content := range [][]byte{nil, {0x7a, 0x10}, append([]byte{0x7a, 0x10}, make([]byte, 16)...), {0xff, 0xff}} {
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var m fleetv1.News
		if proto.Unmarshal(content, &m) != nil {
			return
		}
		now := time.Now()
		samples := speedsOf(&m, now)
		if reports := reportsOf(&m, now); len(reports) > pace.MaxShared {
			t.Errorf("%d reports", len(reports))
		}
		if len(samples) > speed.MaxShared {
			t.Errorf("%d samples", len(samples))
		}
		for _, s := range samples {
			if s.Observed.After(now) || s.PerToken < 0 || s.Tokens < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}

package member

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gooseberrypin.example/router/pace"
	"gooseberrypin.example/router/speed"
)

func TestReportsOverTheWire(t *testing.T) {
	is := is.New(t)
	update := largestUpdate()
	sent := pace.Report{Upstream: 1<<48 - 7, Entry: 1<<32 - 5, Limit: 37.5, Observed: time.Now().Add(-1230 * time.Millisecond)}
	for range pace.MaxShared + 1 {
		update.Reports = append(update.Reports, sent)
	}
	received := exchanged(t, update)
	is.Equal(len(received.Reports), pace.MaxShared)
	is.Equal(received.Reports[0].Upstream, sent.Upstream)
	is.Equal(received.Reports[0].Entry, sent.Entry)
	is.True(math.Abs(received.Reports[0].Limit-sent.Limit) < 0.1)
	is.True(received.Reports[0].Observed.Sub(sent.Observed).Abs() < 500*time.Millisecond)
	is.True(len(received.Speeds) > 0 && len(received.Speeds) < speed.MaxShared)
	is.True(proto.Size(toMessage(update)) <= maxMessageBytes)
}

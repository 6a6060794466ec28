package member

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/quarantine"
)

const (
	// An entry may use 26 KB a second for control. It begins one exchange a second and takes one
	// on average, each with a message both ways.
	controlBytes = 26 << 10
	messages     = 4
	targetFleet  = 630
)

// most are the largest news that an entry tells.
func most() membership.Update {
	var news membership.Update
	for i := range 25 {
		news.Members = append(news.Members, membership.Member{
			Address: fmt.Sprintf("10.128.200.%d:65535", 100+i), Incarnation: time.Now().UnixMilli(), Heartbeat: 1 << 30, SinceHeartbeat: time.Minute, Left: true,
		})
	}
	for i := range 32 {
		news.Ejected = append(news.Ejected, fmt.Sprintf("i-%010x", i))
	}
	for i := range 32 {
		news.Suspects = append(news.Suspects, quarantine.Suspect{
			Fingerprint: strings.Repeat("f", 16), Crashes: []string{fmt.Sprintf("i-%010x@1790000000123", i), "i-0123456789@1790000000123"}, Remaining: 10 * time.Minute,
		})
	}
	return news
}

func TestExchangesFitTheirShareOfALink(t *testing.T) {
	is := is.New(t)
	size := proto.Size(toMessage(most()))
	t.Logf("%d bytes a message", size)
	is.True(messages*size < controlBytes)
}

// After a crash, all that ran at two busy upstreams is told at once.
func TestUrgentNewsFitAnExchange(t *testing.T) {
	is := is.New(t)
	news := most()
	for i := range 512 {
		news.Suspects = append(news.Suspects, quarantine.Suspect{
			Fingerprint: fmt.Sprintf("%016x", i), Crashes: []string{"i-0123456789@1790000000123"}, Remaining: 10 * time.Minute,
		})
	}
	is.True(proto.Size(toMessage(news)) < maxAnswerBytes)
}

// BenchmarkExchange is one exchange in a fleet of the target's size, both sides and HTTP included.
func BenchmarkExchange(b *testing.B) {
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard())
	for i := range targetFleet {
		group.Exchange(membership.Update{Members: []membership.Member{{Address: fmt.Sprintf("10.1.%d.%d:8144", i/200, i%200), Heartbeat: 1}}})
	}
	listener := httptest.NewServer(NewHandler(group))
	defer listener.Close()
	client := NewClient(listener.Client())
	news := most()
	address := listener.Listener.Addr().String()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), address, news); err != nil {
			b.Fatal(err)
		}
	}
}

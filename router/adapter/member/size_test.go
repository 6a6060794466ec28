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
	"gooseberrypin.example/router/quota"
	"gooseberrypin.example/router/speed"
)

const (
	// maxControlBytesPerSecond is the control bandwidth that an entry may use.
	maxControlBytesPerSecond = 26 << 10
	// messagesPerSecond counts one exchange that the entry begins and, on average, one that it receives. Each has a
	// message in both directions.
	messagesPerSecond = 4
	// targetEntries is the number of entries in the largest fleet that is supported.
	targetEntries = 630
)

// largestUpdate returns the largest update that an entry sends without recent crashes.
func largestUpdate() membership.Update {
	var update membership.Update
	for i := range 25 {
		update.Members = append(update.Members, membership.Member{
			Address: fmt.Sprintf("10.128.200.%d:65535", 100+i), Incarnation: time.Now().UnixMilli(), Heartbeat: 1 << 30, SinceHeartbeat: time.Minute, Left: true,
		})
	}
	for i := range 32 {
		update.Ejected = append(update.Ejected, fmt.Sprintf("i-%010x", i))
	}
	for i := range 28 {
		update.Suspects = append(update.Suspects, quarantine.Suspect{
			Fingerprint: "part:" + strings.Repeat("f", 12), Part: true, Answered: true, Remaining: 10 * time.Minute,
			Crashes: []string{fmt.Sprintf("i-%010x@1790000000123", i), "i-0123456789@1790000000123", "i-0123456788@1790000000123"},
		})
	}
	for i := range 32 {
		now := time.Now()
		update.Limits = append(update.Limits, quota.Limit{
			Upstream: fmt.Sprintf("i-%010x@1790000000123", i), Stated: true, PerSecond: 123.4, Since: now.Add(-time.Hour), Observed: now.Add(-time.Minute),
		})
	}
	for i := range speed.MaxShared {
		update.Speeds = append(update.Speeds, speed.Sample{Engine: uint64(i), ID: uint32(i), Tokens: 3200, PerToken: 30 * time.Microsecond, Observed: time.Now()})
	}
	return update
}

func TestExchangesFitControlBandwidth(t *testing.T) {
	is := is.New(t)
	size := proto.Size(toMessage(largestUpdate()))
	t.Logf("%d bytes per message", size)
	is.True(messagesPerSecond*size < maxControlBytesPerSecond)
}

// TestUpdateAfterCrashFitsResponseLimit covers the update after the crash of two busy upstreams. It carries the
// fingerprints of all requests that ran on them.
func TestUpdateAfterCrashFitsResponseLimit(t *testing.T) {
	is := is.New(t)
	update := largestUpdate()
	for i := range 512 {
		update.Suspects = append(update.Suspects, quarantine.Suspect{
			Fingerprint: fmt.Sprintf("%016x", i), Crashes: []string{"i-0123456789@1790000000123"}, Remaining: 10 * time.Minute,
		})
	}
	is.True(proto.Size(toMessage(update)) < maxResponseBytes)
}

// TestUpdateWithManyPartsFitsResponseLimit covers the update after crashes of engines that ran prompts with very many parts,
// all with the longest names, at the most crashes that a suspect holds.
func TestUpdateWithManyPartsFitsResponseLimit(t *testing.T) {
	const parts, crashes, suspects = 10_000, 8, 28
	tests := map[string]bool{"answers began": false, "answers were under way": true}
	for name, begun := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			table := quarantine.NewTable(quarantine.WithCapacity(4096))
			for crash := range crashes {
				var contents []quarantine.Content
				for n := range parts {
					contents = append(contents, quarantine.Content{Name: fmt.Sprintf("part:%064x", n), Part: true})
				}
				sentAt := now.Add(time.Duration(crash) * time.Millisecond)
				table.RecordCrash(contents, quarantine.Crash{Upstream: fmt.Sprintf("i-%010x@1790000000123", crash), SentAt: sentAt, Proven: true, Begun: begun}, sentAt)
			}
			update := largestUpdate()
			update.Suspects = table.Shared(now.Add(time.Second), suspects)
			size := proto.Size(toMessage(update))
			t.Logf("%d bytes per message with %d suspects", size, len(update.Suspects))
			is.True(len(update.Suspects) > suspects)
			is.True(size < maxResponseBytes)
		})
	}
}

// BenchmarkExchange measures one exchange in a fleet of targetEntries entries. It includes both sides and HTTP.
func BenchmarkExchange(b *testing.B) {
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard())
	for i := range targetEntries {
		group.Exchange(membership.Update{Members: []membership.Member{{Address: fmt.Sprintf("10.1.%d.%d:8144", i/200, i%200), Heartbeat: 1}}})
	}
	server := httptest.NewServer(NewHandler(group))
	defer server.Close()
	client := NewClient(server.Client())
	update := largestUpdate()
	address := server.Listener.Addr().String()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), address, update); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAcquire measures one request to the owner of a quota in a fleet of targetEntries entries. It includes both
// sides and HTTP.
func BenchmarkAcquire(b *testing.B) {
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard())
	for i := range targetEntries {
		group.Exchange(membership.Update{Members: []membership.Member{{Address: fmt.Sprintf("10.1.%d.%d:8144", i/200, i%200), Heartbeat: 1}}})
	}
	limiter := quota.NewLimiter("10.1.0.1:8144", quota.NewTable(event.Discard()), group, nil)
	server := httptest.NewServer(NewQuotaHandler(limiter))
	defer server.Close()
	client := NewClient(server.Client())
	now := time.Now()
	request := quota.Request{Entry: "10.1.0.2:8144", Limit: quota.Limit{Upstream: "i-0123456789@1790000000123", Stated: true, PerSecond: 20, Since: now, Observed: now}, Count: 1}
	address := server.Listener.Addr().String()
	for b.Loop() {
		if _, err := client.Acquire(b.Context(), address, request); err != nil {
			b.Fatal(err)
		}
	}
}

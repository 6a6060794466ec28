package entry

import (
	"context"
	"sync"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/peer"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/refusal"
)

const (
	broadcastTimeout = 150 * time.Millisecond
)

type (
	// crashes holds the content that is suspected of crashing upstreams, and refuses quarantined content. It
	// implements generation.Crashes.
	crashes struct {
		entry *Entry
		table *quarantine.Table
	}
)

func newCrashes(e *Entry) *crashes {
	return &crashes{entry: e, table: quarantine.NewTable()}
}

// RecordCrash implements generation.Crashes. Only the sidecar counts a crash. The response to the heartbeat contains the
// sidecar's suspects, which are sent to the region's entries before the next try.
func (c *crashes) RecordCrash(ctx context.Context, address, fingerprint string) *refusal.Refusal {
	c.entry.heartbeat(ctx, address)
	c.broadcast()
	return c.check(fingerprint, time.Now())
}

// RecordSuccess implements generation.Crashes.
func (c *crashes) RecordSuccess(fingerprint string) {
	c.table.Clear([]quarantine.Content{{Name: fingerprint}}, time.Now())
}

// check returns a refusal for quarantined content, and nil for other content.
func (c *crashes) check(fingerprint string, now time.Time) *refusal.Refusal {
	switch v := c.table.Check(fingerprint, now).(type) {
	case quarantine.Free, quarantine.Suspected:
		return nil
	case quarantine.Quarantined:
		c.entry.count("quarantined")
		c.entry.log.Info(event.ContentQuarantined, "fingerprint", fingerprint, "remaining_ms", v.Remaining.Milliseconds())
		return refusal.New(refusal.RanYes, refusal.Quarantined, v.Remaining, "this content crashed upstreams")
	}
	return nil
}

// suspected reports whether content is suspected of crashing an upstream. It returns false for quarantined content.
func (c *crashes) suspected(fingerprint string, now time.Time) bool {
	_, found := c.table.Check(fingerprint, now).(quarantine.Suspected)
	return found
}

// suspects returns the suspects for a heartbeat.
func (c *crashes) suspects() []*fleetv1.Suspect {
	return wire.FromSuspects(c.table.Suspects(time.Now()))
}

// merge adds the suspects that another process reported.
func (c *crashes) merge(list []*fleetv1.Suspect) {
	c.table.Merge(wire.ToSuspects(list), time.Now())
}

// broadcast sends the suspects to the region's other entries. It returns when all have answered, and at the latest after
// broadcastTimeout.
func (c *crashes) broadcast() {
	e := c.entry
	ctx, cancel := context.WithTimeout(e.context, broadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range e.route.OtherEntryAddresses() {
		wg.Go(func() {
			q := &fleetv1.HeartbeatRequest{From: e.process(), View: peer.FromView(e.reader.View()), Suspects: c.suspects()}
			_, _ = fleetv1.NewPeersProtobufClient(fleet.URL(address), e.http).Heartbeat(ctx, q)
		})
	}
	wg.Wait()
}

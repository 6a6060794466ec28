package booking

import (
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/booking"
)

// FromHandOver returns the message of a hand-over. It rounds CoveredSince up to the next millisecond, so that the
// message claims no more coverage than the hand-over has.
func FromHandOver(o booking.HandOver) *fleetv1.HandOverRequest {
	m := &fleetv1.HandOverRequest{Pool: o.Pool, From: o.From, Revision: o.Revision, Whole: o.Complete}
	if !o.CoveredSince.IsZero() {
		m.CoveredSinceUnixMs = o.CoveredSince.UnixMilli() + 1
	}
	for _, r := range o.Records {
		m.Records = append(m.Records, fromRecord(r))
	}
	return m
}

// ToHandOver returns the hand-over of a message.
func ToHandOver(m *fleetv1.HandOverRequest) booking.HandOver {
	o := booking.HandOver{Pool: m.GetPool(), From: m.GetFrom(), Revision: m.GetRevision(), Complete: m.GetWhole()}
	o.CoveredSince = time.UnixMilli(m.GetCoveredSinceUnixMs())
	for _, r := range m.GetRecords() {
		o.Records = append(o.Records, toRecord(m.GetPool(), r))
	}
	return o
}

func fromRecord(r booking.Record) *fleetv1.BookingRecord {
	m := &fleetv1.BookingRecord{
		KeyDigest:        r.Key,
		KeyCreatedUnixMs: r.Created.UnixMilli(),
		ContentDigest:    r.ContentDigest,
		State:            fleetv1.BookingState(r.State),
	}
	if r.State == booking.Done {
		m.Result = &fleetv1.RunResult{Status: int32(r.Result.Status), Body: r.Result.Body}
	}
	return m
}

func toRecord(pool string, m *fleetv1.BookingRecord) booking.Record {
	return booking.Record{
		Key:           m.GetKeyDigest(),
		Created:       time.UnixMilli(m.GetKeyCreatedUnixMs()),
		ContentDigest: m.GetContentDigest(),
		Pool:          pool,
		State:         booking.State(m.GetState()),
		Result:        booking.Result{Status: int(m.GetResult().GetStatus()), Body: m.GetResult().GetBody()},
	}
}

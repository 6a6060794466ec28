package member

import (
	"encoding/binary"
	"math"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/pace"
)

const (
	// reportsField is the number of the field of News with the reports of limits on work in flight. Its value is a sequence
	// of reports, each of reportBytes bytes, big-endian: the upstream (6), the entry (4), the age (2) and the limit (2).
	reportsField = 14
	reportBytes  = 14
)

// appendReports adds reports to a message, as far as its size allows it.
func appendReports(m *fleetv1.News, reports []pace.Report, now time.Time) {
	content := make([]byte, 0, len(reports)*reportBytes)
	for _, r := range reports[:min(len(reports), room(m, reportBytes), pace.MaxShared)] {
		content = appendName(content, r.Upstream)
		content = binary.BigEndian.AppendUint32(content, r.Entry)
		content = binary.BigEndian.AppendUint16(content, saturate(float64(now.Sub(r.Observed)/ageUnit)))
		content = binary.BigEndian.AppendUint16(content, logarithm(r.Limit))
	}
	appendField(m, reportsField, content)
}

// reportsOf returns the reports of a message, at most pace.MaxShared.
func reportsOf(m *fleetv1.News, now time.Time) []pace.Report {
	var reports []pace.Report
	for content := field(m, reportsField); len(content) >= reportBytes && len(reports) < pace.MaxShared; content = content[reportBytes:] {
		rest := content[nameBytes:reportBytes]
		reports = append(reports, pace.Report{
			Upstream: name(content),
			Entry:    binary.BigEndian.Uint32(rest),
			Observed: now.Add(-ageUnit * time.Duration(binary.BigEndian.Uint16(rest[4:]))),
			Limit:    math.Exp2(float64(binary.BigEndian.Uint16(rest[6:])) / logarithmSteps),
		})
	}
	return reports
}

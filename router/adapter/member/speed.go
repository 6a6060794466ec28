package member

import (
	"encoding/binary"
	"math"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/speed"
)

const (
	// speedsField is the number of the field of News with the samples of speeds. Its value is a sequence of samples, each of
	// sampleBytes bytes, big-endian: the engine (6), the ID of the sample (4), its age (2), the time per token (2) and the
	// number of tokens (2).
	speedsField = 15
	sampleBytes = 16
)

// appendSpeeds adds samples to a message, as far as its size allows it.
func appendSpeeds(m *fleetv1.News, samples []speed.Sample, now time.Time) {
	content := make([]byte, 0, len(samples)*sampleBytes)
	for _, s := range samples[:min(len(samples), room(m, sampleBytes), speed.MaxShared)] {
		content = appendName(content, s.Engine)
		content = binary.BigEndian.AppendUint32(content, s.ID)
		content = binary.BigEndian.AppendUint16(content, saturate(float64(now.Sub(s.Observed)/ageUnit)))
		content = binary.BigEndian.AppendUint16(content, logarithm(float64(s.PerToken)))
		content = binary.BigEndian.AppendUint16(content, saturate(float64(s.Tokens)))
	}
	appendField(m, speedsField, content)
}

// speedsOf returns the samples of a message, at most speed.MaxShared.
func speedsOf(m *fleetv1.News, now time.Time) []speed.Sample {
	var samples []speed.Sample
	for content := field(m, speedsField); len(content) >= sampleBytes && len(samples) < speed.MaxShared; content = content[sampleBytes:] {
		rest := content[nameBytes:sampleBytes]
		samples = append(samples, speed.Sample{
			Engine:   name(content),
			ID:       binary.BigEndian.Uint32(rest),
			Observed: now.Add(-ageUnit * time.Duration(binary.BigEndian.Uint16(rest[4:]))),
			PerToken: time.Duration(math.Exp2(float64(binary.BigEndian.Uint16(rest[6:])) / logarithmSteps)),
			Tokens:   int(binary.BigEndian.Uint16(rest[8:])),
		})
	}
	return samples
}

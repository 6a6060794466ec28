package member

import (
	"encoding/binary"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/speed"
)

const (
	// speedsField is the number of the field of News with the samples of speeds. Its value is a sequence of samples, each of
	// sampleBytes bytes, big-endian: the engine (6), the ID of the sample (4), its age (2), the time per token (2) and the
	// number of tokens (2).
	speedsField = 15
	sampleBytes = 16
	engineBytes = 6
	// speedsOverhead is the size of the field without its samples.
	speedsOverhead = 3
	// maxMessageBytes bounds a message with samples. Four messages a second stay within 26 KB. Samples take what the other
	// state leaves of it.
	maxMessageBytes = 6600
	// ageUnit is the unit of the age of a sample.
	ageUnit = 10 * time.Millisecond
	// perTokenSteps is the number of steps in which the time per token doubles, from one nanosecond on. Steps are 0.03 %
	// apart.
	perTokenSteps = 2048
)

// appendSpeeds adds samples to a message, as far as its size allows it.
func appendSpeeds(m *fleetv1.News, samples []speed.Sample, now time.Time) {
	room := max(0, (maxMessageBytes-speedsOverhead-proto.Size(m))/sampleBytes)
	samples = samples[:min(len(samples), room, speed.MaxShared)]
	if len(samples) == 0 {
		return
	}
	content := make([]byte, 0, len(samples)*sampleBytes)
	for _, s := range samples {
		var engine [8]byte
		binary.BigEndian.PutUint64(engine[:], s.Engine)
		content = append(content, engine[8-engineBytes:]...)
		content = binary.BigEndian.AppendUint32(content, s.ID)
		content = binary.BigEndian.AppendUint16(content, saturate(float64(now.Sub(s.Observed)/ageUnit)))
		content = binary.BigEndian.AppendUint16(content, saturate(math.Round(perTokenSteps*math.Log2(float64(max(1, s.PerToken))))))
		content = binary.BigEndian.AppendUint16(content, saturate(float64(s.Tokens)))
	}
	field := protowire.AppendBytes(protowire.AppendTag(nil, speedsField, protowire.BytesType), content)
	m.ProtoReflect().SetUnknown(field)
}

// saturate returns the nearest value of 16 bits.
func saturate(value float64) uint16 {
	return uint16(min(max(value, 0), math.MaxUint16))
}

// speedsOf returns the samples of a message, at most speed.MaxShared. It ignores other unknown fields.
func speedsOf(m *fleetv1.News, now time.Time) []speed.Sample {
	if m == nil {
		return nil
	}
	var samples []speed.Sample
	for unknown := []byte(m.ProtoReflect().GetUnknown()); len(unknown) > 0; {
		number, kind, tagLength := protowire.ConsumeTag(unknown)
		if tagLength < 0 {
			return samples
		}
		length := protowire.ConsumeFieldValue(number, kind, unknown[tagLength:])
		if length < 0 {
			return samples
		}
		if number == speedsField && kind == protowire.BytesType {
			content, _ := protowire.ConsumeBytes(unknown[tagLength:])
			samples = decodeSamples(content, now)
		}
		unknown = unknown[tagLength+length:]
	}
	return samples
}

func decodeSamples(content []byte, now time.Time) []speed.Sample {
	var samples []speed.Sample
	for ; len(content) >= sampleBytes && len(samples) < speed.MaxShared; content = content[sampleBytes:] {
		var engine [8]byte
		copy(engine[8-engineBytes:], content[:engineBytes])
		rest := content[engineBytes:sampleBytes]
		samples = append(samples, speed.Sample{
			Engine:   binary.BigEndian.Uint64(engine[:]),
			ID:       binary.BigEndian.Uint32(rest),
			Observed: now.Add(-ageUnit * time.Duration(binary.BigEndian.Uint16(rest[4:]))),
			PerToken: time.Duration(math.Exp2(float64(binary.BigEndian.Uint16(rest[6:])) / perTokenSteps)),
			Tokens:   int(binary.BigEndian.Uint16(rest[8:])),
		})
	}
	return samples
}

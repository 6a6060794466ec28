package member

import (
	"encoding/binary"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
)

const (
	// maxMessageBytes bounds a message with figures of upstreams, which take what the other state leaves of it. Four messages
	// a second stay within 26 KB.
	maxMessageBytes = 6600
	// fieldOverhead is the size of a field of figures without its content.
	fieldOverhead = 3
	// nameBytes is the size of the name of an upstream.
	nameBytes = 6
	// ageUnit is the unit of the age of a figure.
	ageUnit = 10 * time.Millisecond
	// logarithmSteps is the number of steps in which a value doubles, from 1 on. Steps are 0.03 % apart.
	logarithmSteps = 2048
)

// room returns how many figures of a size a message has room for.
func room(m *fleetv1.News, size int) int {
	return max(0, (maxMessageBytes-fieldOverhead-proto.Size(m))/size)
}

// appendField adds a field of bytes, which the generated code does not know, to a message. It adds no empty field.
func appendField(m *fleetv1.News, number protowire.Number, content []byte) {
	if len(content) == 0 {
		return
	}
	unknown := protowire.AppendTag(m.ProtoReflect().GetUnknown(), number, protowire.BytesType)
	m.ProtoReflect().SetUnknown(protowire.AppendBytes(unknown, content))
}

// field returns the content of a field of bytes that the generated code does not know, or nil.
func field(m *fleetv1.News, wanted protowire.Number) []byte {
	if m == nil {
		return nil
	}
	for unknown := []byte(m.ProtoReflect().GetUnknown()); len(unknown) > 0; {
		number, kind, tagLength := protowire.ConsumeTag(unknown)
		if tagLength < 0 {
			return nil
		}
		length := protowire.ConsumeFieldValue(number, kind, unknown[tagLength:])
		if length < 0 {
			return nil
		}
		if number == wanted && kind == protowire.BytesType {
			content, _ := protowire.ConsumeBytes(unknown[tagLength:])
			return content
		}
		unknown = unknown[tagLength+length:]
	}
	return nil
}

// appendName appends the name of an upstream.
func appendName(content []byte, upstream uint64) []byte {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], upstream)
	return append(content, bytes[8-nameBytes:]...)
}

// name returns the name of an upstream at the beginning of content.
func name(content []byte) uint64 {
	var bytes [8]byte
	copy(bytes[8-nameBytes:], content[:nameBytes])
	return binary.BigEndian.Uint64(bytes[:])
}

// logarithm returns a value of at least 1 in logarithmSteps.
func logarithm(value float64) uint16 {
	return saturate(math.Round(logarithmSteps * math.Log2(max(1, value))))
}

// saturate returns the nearest value of 16 bits.
func saturate(value float64) uint16 {
	return uint16(min(max(value, 0), math.MaxUint16))
}

package member

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/quota"
)

const (
	// compactFormat is the first byte of a message in the compact format. No JSON begins with it, so an entry that only knows
	// JSON refuses the message.
	compactFormat = 0x01
	// customerBytes is the size of a customer's name in a report: the lower bytes of a hash. Among 3,300 customers, two have
	// the same one with a probability of 5 in a million; both then use their entries' own parts.
	customerBytes = 5
	// maxReportBytes bounds a report, which takes 20 bytes for each customer.
	maxReportBytes = 256 << 10
	// A quantity has 15 bits and a sign: tenths below firstWhole, whole numbers below firstStep, and from there on stepsPerDouble
	// steps for each doubling, which are 0.14 % apart.
	firstWhole     = 100
	firstStep      = 1 << 14
	stepsPerDouble = 512
	wholeCode      = 10 * firstWhole
	stepCode       = wholeCode + firstStep - firstWhole
	quantitySign   = 1 << 15
	// maxExact is the magnitude below which whole amounts are sent as integers.
	maxExact = 1 << 50

	// The flags of a customer in a report say which fields follow.
	hasReturned = 1
	hasWant     = 2
	hasDemand   = 4
	hasGranted  = 8
	hasHeld     = 16
	// The flags of a share also say whether the allocator knows the customer, and whether its quota is short.
	isKnown         = 1
	isShort         = 2
	hasLimit        = 4
	hasGrant        = 8
	hasLoad         = 16
	hasOtherGranted = 32
)

var (
	errMessage = eris.New("the message is not understood")
)

type (
	// customerName is the name of a customer in a message.
	customerName [customerBytes]byte

	// messageReader reads the fields of a message. After an error, all fields are zero.
	messageReader struct {
		content []byte
		failed  bool
	}
)

func nameOfCustomer(customer string) customerName {
	var full [8]byte
	binary.BigEndian.PutUint64(full[:], xxhash.Sum64String(customer))
	return customerName(full[len(full)-customerBytes:])
}

// encodeReport returns a report in the compact format.
func encodeReport(r quota.CustomerReport) []byte {
	b := []byte{compactFormat, flag(r.Early, 1)}
	b = protowire.AppendString(b, r.Entry)
	b = protowire.AppendFixed64(b, uint64(r.Process))
	b = protowire.AppendFixed64(b, uint64(r.Allocator))
	b = protowire.AppendVarint(b, uint64(r.Number))
	b = protowire.AppendVarint(b, uint64(r.Applied))
	b = protowire.AppendVarint(b, uint64(len(r.Customers)))
	for _, u := range r.Customers {
		name, demand, granted := nameOfCustomer(u.Name), quantity(u.Demand), quantity(u.Granted)
		b = append(b, name[:]...)
		b = append(b, flag(u.Returned != 0, hasReturned)|flag(u.Want != 0, hasWant)|flag(demand != 0, hasDemand)|
			flag(granted != demand, hasGranted)|flag(u.Held != 0, hasHeld))
		b = appendAmount(b, u.Held)
		b = appendAmount(b, u.Returned)
		b = appendAmount(b, u.Want)
		b = appendQuantity(b, demand, demand != 0)
		b = appendQuantity(b, granted, granted != demand)
	}
	return b
}

// decodeReport returns the report of a message. A customer that the function does not find has no name. Only what is held may be
// negative.
func decodeReport(content []byte, find func(customerName) string) (quota.CustomerReport, error) {
	m := messageReader{content: content}
	if m.byte() != compactFormat {
		return quota.CustomerReport{}, errMessage
	}
	early := m.byte() != 0
	r := quota.CustomerReport{
		Entry: m.string(), Process: int64(m.fixed64()), Allocator: int64(m.fixed64()), Number: int64(m.varint()), Applied: int64(m.varint()), Early: early,
	}
	for n := m.varint(); n > 0 && !m.failed; n-- {
		var name customerName
		copy(name[:], m.bytes(customerBytes))
		flags := m.byte()
		u := quota.CustomerUse{
			Name: find(name), Held: m.amount(flags & hasHeld), Returned: max(0, m.amount(flags&hasReturned)), Want: max(0, m.amount(flags&hasWant)),
		}
		demand := m.quantity(flags & hasDemand)
		u.Demand, u.Granted = max(0, demand), demand
		if flags&hasGranted != 0 {
			u.Granted = m.quantity(hasGranted)
		}
		r.Customers = append(r.Customers, u)
	}
	if m.failed || len(m.content) > 0 || r.Entry == "" {
		return quota.CustomerReport{}, errMessage
	}
	return r, nil
}

// encodeAnswer returns the answer to a report about customers in the compact format.
func encodeAnswer(a quota.CustomerAnswer, names []string) []byte {
	b := protowire.AppendFixed64([]byte{compactFormat}, uint64(a.Allocator))
	b = protowire.AppendVarint(b, uint64(a.Interval.Milliseconds()))
	b = protowire.AppendVarint(b, uint64(a.EarlyGap.Milliseconds()))
	b = protowire.AppendVarint(b, uint64(len(names)))
	rest := a.Customers
	for _, name := range names {
		// The answer has the order of the report, without the customers that the allocator does not know.
		if len(rest) == 0 || rest[0].Name != name {
			b = append(b, 0)
			continue
		}
		b = appendShare(b, rest[0])
		rest = rest[1:]
	}
	for _, l := range a.Others {
		b = protowire.AppendString(b, l.Name)
		b = appendQuantity(b, quantity(l.Demand), true)
		b = appendQuantity(b, quantity(l.Granted), true)
	}
	return b
}

func appendShare(b []byte, s quota.CustomerShare) []byte {
	limited := s.Target != 0 || s.Debt != 0 || s.PerSecond != 0 || s.Available != 0
	demand, granted := quantity(s.Demand), quantity(s.Granted)
	b = append(b, isKnown|flag(s.Short, isShort)|flag(limited, hasLimit)|flag(s.Grant != 0, hasGrant)|flag(demand != 0, hasLoad)|
		flag(granted != demand, hasOtherGranted))
	b = appendAmount(b, s.Grant)
	for _, v := range []float64{s.Target, s.Debt, s.PerSecond, s.Available} {
		b = appendQuantity(b, quantity(v), limited)
	}
	b = appendQuantity(b, demand, demand != 0)
	return appendQuantity(b, granted, granted != demand)
}

// decodeAnswer returns the answer of a message to a report about customers.
func decodeAnswer(content []byte, names []string) (quota.CustomerAnswer, error) {
	m := messageReader{content: content}
	if m.byte() != compactFormat {
		return quota.CustomerAnswer{}, errMessage
	}
	a := quota.CustomerAnswer{
		Allocator: int64(m.fixed64()),
		Interval:  m.milliseconds(),
		EarlyGap:  m.milliseconds(),
		Customers: make([]quota.CustomerShare, 0, len(names)),
	}
	if m.varint() != uint64(len(names)) {
		return quota.CustomerAnswer{}, errMessage
	}
	for _, name := range names {
		flags := m.byte()
		if flags&isKnown == 0 {
			continue
		}
		s := quota.CustomerShare{Name: name, Short: flags&isShort != 0, Grant: max(0, m.amount(flags&hasGrant))}
		s.Target, s.Debt, s.PerSecond = max(0, m.quantity(flags&hasLimit)), max(0, m.quantity(flags&hasLimit)), max(0, m.quantity(flags&hasLimit))
		s.Available = m.quantity(flags & hasLimit)
		s.Demand = m.quantity(flags & hasLoad)
		s.Granted = s.Demand
		if flags&hasOtherGranted != 0 {
			s.Granted = m.quantity(hasOtherGranted)
		}
		a.Customers = append(a.Customers, s)
	}
	for len(m.content) > 0 && !m.failed {
		a.Others = append(a.Others, quota.CustomerLoad{Name: m.string(), Demand: m.quantity(hasLoad), Granted: m.quantity(hasLoad)})
	}
	if m.failed {
		return quota.CustomerAnswer{}, errMessage
	}
	return a, nil
}

func flag(set bool, value byte) byte {
	if set {
		return value
	}
	return 0
}

// appendAmount appends an amount exactly, unless it is 0. Whole amounts, as all are that come from requests, take three bytes up
// to half a million.
func appendAmount(b []byte, v float64) []byte {
	switch {
	case v == 0:
		return b
	case v == math.Trunc(v) && math.Abs(v) < maxExact:
		return protowire.AppendVarint(b, protowire.EncodeZigZag(int64(v))<<1)
	}
	return protowire.AppendFixed64(protowire.AppendVarint(b, 1), math.Float64bits(v))
}

func appendQuantity(b []byte, q uint16, present bool) []byte {
	if !present {
		return b
	}
	return binary.BigEndian.AppendUint16(b, q)
}

// quantity returns a value in 16 bits, rounded towards zero.
func quantity(v float64) uint16 {
	// Values such as 0.3 are not whole multiples of a tenth as floating-point numbers.
	const tolerance = 1e-6
	q, magnitude := 0.0, math.Abs(v)
	switch {
	case magnitude < firstWhole:
		q = 10 * magnitude
	case magnitude < firstStep:
		q = wholeCode + magnitude - firstWhole
	default:
		q = stepCode + stepsPerDouble*math.Log2(magnitude/firstStep)
	}
	code := uint16(min(q+tolerance, quantitySign-1))
	if v < 0 && code > 0 {
		code |= quantitySign
	}
	return code
}

// value returns the value of a quantity.
func value(code uint16) float64 {
	v := float64(code &^ quantitySign)
	switch {
	case v < wholeCode:
		v /= 10
	case v < stepCode:
		v += firstWhole - wholeCode
	default:
		v = firstStep * math.Exp2((v-stepCode)/stepsPerDouble)
	}
	if code&quantitySign != 0 {
		return -v
	}
	return v
}

// consume takes a field of a length, which is negative after an error.
func (m *messageReader) consume(length int) {
	if length < 0 || m.failed {
		m.content, m.failed = nil, true
		return
	}
	m.content = m.content[length:]
}

func (m *messageReader) bytes(length int) []byte {
	if len(m.content) < length {
		m.consume(-1)
		return nil
	}
	b := m.content[:length]
	m.consume(length)
	return b
}

func (m *messageReader) byte() byte {
	if b := m.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (m *messageReader) varint() uint64 {
	v, length := protowire.ConsumeVarint(m.content)
	m.consume(length)
	return v
}

func (m *messageReader) fixed64() uint64 {
	v, length := protowire.ConsumeFixed64(m.content)
	m.consume(length)
	return v
}

func (m *messageReader) string() string {
	v, length := protowire.ConsumeString(m.content)
	m.consume(length)
	return v
}

func (m *messageReader) milliseconds() time.Duration {
	return min(max(0, wire.Milliseconds(int64(m.varint()))), maxReportInterval)
}

// amount returns an amount, or 0 if the field is absent. An amount that is not a number fails.
func (m *messageReader) amount(present byte) float64 {
	if present == 0 {
		return 0
	}
	v := m.varint()
	if v&1 == 0 {
		return float64(protowire.DecodeZigZag(v >> 1))
	}
	f := math.Float64frombits(m.fixed64())
	if math.IsNaN(f) || math.IsInf(f, 0) {
		m.consume(-1)
		return 0
	}
	return f
}

// quantity returns a quantity, or 0 if the field is absent.
func (m *messageReader) quantity(present byte) float64 {
	if present == 0 {
		return 0
	}
	if b := m.bytes(2); b != nil {
		return value(binary.BigEndian.Uint16(b))
	}
	return 0
}

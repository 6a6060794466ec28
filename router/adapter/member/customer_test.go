package member

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/quota"
)

// customerReport returns the report of an entry about a number of customers in use.
func customerReport(entry string, number int64, customers int) quota.CustomerReport {
	r := quota.CustomerReport{Entry: entry, Process: time.Now().UnixNano(), Number: number, Applied: number - 1}
	for i := range customers {
		r.Customers = append(r.Customers, quota.CustomerUse{Name: fmt.Sprintf("hule%03d", i), Held: 7345, Returned: 123, Demand: 12345, Granted: 12345})
	}
	return r
}

func newAllocator(entries, customers int) *quota.Allocator {
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard())
	for i := range entries - 1 {
		group.Exchange(membership.Update{Members: []membership.Member{{Address: fmt.Sprintf("10.1.%d.%d:8144", i/200, 2+i%200), Heartbeat: 1}}})
	}
	limits := quota.CustomerLimits{Version: 1}
	for i := range customers {
		limits.Limits = append(limits.Limits, quota.CustomerLimit{Name: fmt.Sprintf("hule%03d", i), PerSecond: 161_288, Burst: 161_288})
	}
	return quota.NewAllocator(group, func() quota.CustomerLimits { return limits }, quota.CustomerBounds{Window: 8 * time.Second, Overage: 0.25, Slack: 140_000})
}

// A report and its answer arrive unchanged. A report that arrives twice, and one that can't be read, gets no answer.
func TestCustomerReport(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(NewCustomerQuotaHandler(newAllocator(5, 16), event.Discard()))
	defer server.Close()
	client, address := NewClient(server.Client()), server.Listener.Addr().String()
	report := customerReport("10.1.0.2:8144", 1, 16)
	answer, err := client.Report(t.Context(), address, report)
	is.NoErr(err)
	is.Equal(len(answer.Customers), 16)
	is.Equal(answer.Interval, 500*time.Millisecond)
	is.True(answer.Allocator != 0)
	for _, s := range answer.Customers {
		is.Equal(s.Demand, 12345.0)
		is.True(s.Target > 0 && s.Debt > 0)
	}
	_, err = client.Report(t.Context(), address, report)
	is.True(err != nil) // the same number again
	_, err = client.Report(t.Context(), address, quota.CustomerReport{})
	is.True(err != nil) // no entry
}

// Any answer of the allocator arrives, also without customers that it does not know. Anything else that arrives as a report
// or an answer has usable values.
func TestCustomerMessages(t *testing.T) {
	is := is.New(t)
	report := quota.CustomerReport{
		Entry: "10.1.0.2:8144", Process: 1 << 60, Number: 9, Applied: 8, Allocator: 1<<60 + 1, Early: true,
		Customers: []quota.CustomerUse{{Name: "a", Held: -5, Returned: 0.5, Want: 7, Demand: 200, Granted: 100.0}, {Name: "b", Held: 3}, {Name: "c"}},
	}
	m := newReportMessage(report)
	is.Equal(m.report(), report)
	answer := quota.CustomerAnswer{
		Allocator: 5, Interval: 500 * time.Millisecond, EarlyGap: 20 * time.Millisecond,
		Customers: []quota.CustomerShare{{Name: "a", Grant: 12, Target: 100, Debt: 4, PerSecond: 3, Short: true, Available: -3, Demand: 2, Granted: 1}, {Name: "c"}},
	}
	sent := newAnswerMessage(answer, m.Names)
	is.Equal(sent.answer(m.Names), answer)
	odd := reportMessage{Names: []string{"a"}, Uses: []useMessage{{-1, -1, -1, -1, -1}, {}}}
	is.Equal(odd.report().Customers, []quota.CustomerUse{{Name: "a", Held: -1, Granted: -1}})
	oddAnswer := answerMessage{IntervalMS: 1 << 40, EarlyGapMS: -1, Shares: []*shareMessage{nil, {-1, -1, -1, -1, 2}, {}}}
	got := oddAnswer.answer([]string{"a", "b"})
	is.Equal(got, quota.CustomerAnswer{Interval: maxReportInterval, Customers: []quota.CustomerShare{{Name: "b", Short: true}}})
}

// The answer for 16 customers, and the report, are small: the allocator of a fleet exchanges 62 of them a second.
func TestSizeOfCustomerReports(t *testing.T) {
	is := is.New(t)
	a := newAllocator(30, 16)
	r := customerReport("10.1.0.2:8144", 1, 16)
	answer, ok := a.Report(r)
	is.True(ok)
	m := newReportMessage(r)
	report, err := json.Marshal(m)
	is.NoErr(err)
	answered, err := json.Marshal(newAnswerMessage(answer, m.Names))
	is.NoErr(err)
	t.Logf("report %d bytes, answer %d bytes", len(report), len(answered))
	is.True(len(report) < 1000 && len(answered) < 1000)
}

// BenchmarkCustomerReport measures one report about 16 customers in a fleet of targetEntries entries. It includes both sides
// and HTTP.
func BenchmarkCustomerReport(b *testing.B) {
	a := newAllocator(targetEntries, 16)
	server := httptest.NewServer(NewCustomerQuotaHandler(a, event.Discard()))
	defer server.Close()
	client, address := NewClient(server.Client()), server.Listener.Addr().String()
	for i := range targetEntries {
		a.Report(customerReport(fmt.Sprintf("10.1.%d.%d:8144", i/200, 2+i%200), 1, 16))
	}
	b.ReportAllocs()
	number := int64(1)
	for b.Loop() {
		number++
		if _, err := client.Report(b.Context(), address, customerReport("10.1.0.2:8144", number, 16)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAllocator measures the answer of the allocator alone, and its state for targetEntries entries.
func BenchmarkAllocator(b *testing.B) {
	a := newAllocator(targetEntries, 16)
	before := heapBytes()
	for i := range targetEntries {
		a.Report(customerReport(fmt.Sprintf("10.1.%d.%d:8144", i/200, 2+i%200), 1, 16))
	}
	state := heapBytes() - before
	reports := make([]quota.CustomerReport, targetEntries)
	for i := range reports {
		reports[i] = customerReport(fmt.Sprintf("10.1.%d.%d:8144", i/200, 2+i%200), 0, 16)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := &reports[n%targetEntries]
		r.Number++
		a.Report(*r)
	}
	b.ReportMetric(float64(state), "state-bytes")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package member

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

type (
	// countingListener counts the bytes that its connections receive and send.
	countingListener struct {
		net.Listener
		received, sent atomic.Int64
	}

	countingConn struct {
		net.Conn
		listener *countingListener
	}
)

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.sent.Add(int64(n))
	return n, err
}

// variedReport returns a report about 16 customers that are all in use, with different amounts.
func variedReport(entry string, number int64, random *rand.Rand) quota.CustomerReport {
	r := customerReport(entry, number, 16)
	for i := range r.Customers {
		demand := 161_288 / float64(1+i) * random.Float64()
		r.Customers[i] = quota.CustomerUse{
			Name: r.Customers[i].Name, Held: float64(random.IntN(20_000) - 2000), Demand: demand, Granted: demand * (1 + random.Float64()*0.1),
		}
		if random.IntN(3) == 0 {
			r.Customers[i].Returned = float64(random.IntN(2000))
		}
	}
	return r
}

// Guards against reports and answers, with the heads of HTTP, that take more of the control bandwidth of an entry than it has, where all
// 16 customers are in use at all entries. An allocator of more than 22 entries may need more.
func TestCostOfCustomerReports(t *testing.T) {
	const exchanges = 50
	for _, entries := range []int{22, 300, targetEntries} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewUnstartedServer(NewCustomerQuotaHandler(newAllocator(entries, 16), event.Discard()))
			listener := &countingListener{Listener: server.Listener}
			server.Listener = listener
			server.Start()
			defer server.Close()
			client, address, random := NewClient(server.Client()), server.Listener.Addr().String(), rand.New(rand.NewPCG(1, 1))
			interval := time.Duration(0)
			for n := range exchanges {
				answer, err := client.Report(t.Context(), address, variedReport("10.128.200.2:8144", int64(n+1), random))
				is.NoErr(err)
				is.Equal(len(answer.Customers), 16)
				interval = answer.Interval
			}
			report, answer := float64(listener.received.Load())/exchanges, float64(listener.sent.Load())/exchanges
			perSecond := 1 / interval.Seconds()
			others := float64(entries-1) * perSecond
			t.Logf("%d entries, %v: report %.0f bytes, answer %.0f; an entry sends %.0f and receives %.0f bytes a second, the allocator %.0f and %.0f, %.1f KB in total",
				entries, interval, report, answer, report*perSecond, answer*perSecond, answer*others, report*others, (report+answer)*others/1024)
			is.True((report+answer)*perSecond < maxControlBytesPerSecond/20)
			if entries == 22 {
				is.True((report+answer)*others <= maxControlBytesPerSecond)
			}
		})
	}
}

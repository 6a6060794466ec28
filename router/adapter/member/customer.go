package member

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

const (
	// CustomerQuotaPath is the path of reports about the quotas of customers.
	CustomerQuotaPath = "/customer-quotas"
	// maxReportInterval bounds what an answer may state.
	maxReportInterval = time.Minute
)

var (
	errNotTaken = eris.New("the entry takes no report now")
)

type (
	// CustomerQuotaHandler answers the reports of entries about the quotas of customers.
	CustomerQuotaHandler struct {
		allocator *quota.Allocator
		log       event.Log

		mu sync.Mutex
		// names are the customers of a version of the configuration by their names in messages; those with the same one are
		// empty.
		version int64
		names   map[customerName]string
	}

	// reportMessage is a quota.CustomerReport as JSON, as entries of earlier versions send it. Amounts are in lists without
	// names.
	reportMessage struct {
		Entry     string `json:"entry"`
		Process   int64  `json:"process"`
		Number    int64  `json:"number"`
		Applied   int64  `json:"applied"`
		Allocator int64  `json:"allocator"`
		Early     bool   `json:"early,omitempty"`
		// Names are the customers of Uses.
		Names []string     `json:"names"`
		Uses  []useMessage `json:"uses"`
	}

	// useMessage is held, returned, want, demand and granted of a quota.CustomerUse.
	useMessage [5]float64

	// answerMessage is a quota.CustomerAnswer as JSON. Shares has an item for each customer of the report, or null.
	answerMessage struct {
		Allocator  int64           `json:"allocator"`
		IntervalMS int64           `json:"interval_ms"`
		EarlyGapMS int64           `json:"early_gap_ms"`
		Shares     []*shareMessage `json:"shares"`
		// Others are the demand and what was granted of customers that the report does not name.
		Others map[string][2]float64 `json:"others,omitempty"`
	}

	// shareMessage is grant, target, debt, per_second, short (0 or 1), available, demand and granted of a
	// quota.CustomerShare.
	shareMessage [8]float64
)

// NewCustomerQuotaHandler returns the HTTP handler of an allocator.
func NewCustomerQuotaHandler(allocator *quota.Allocator, log event.Log) *CustomerQuotaHandler {
	return &CustomerQuotaHandler{allocator: allocator, log: log}
}

// ServeHTTP implements http.Handler. It answers 503 when the allocator has no configuration, and for a report that arrives
// late. A report in JSON is answered in JSON.
func (h *CustomerQuotaHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	var report quota.CustomerReport
	compact := len(content) > 0 && content[0] == compactFormat
	if err == nil {
		report, err = h.decode(content, compact)
	}
	if err != nil {
		h.log.Error(err, event.CustomerReportInvalid, "from", r.RemoteAddr, "entry", report.Entry)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := h.allocator.Report(report)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	names := make([]string, len(report.Customers))
	for i, u := range report.Customers {
		names[i] = u.Name
	}
	if compact {
		content = encodeAnswer(answer, names)
	} else if content, err = json.Marshal(newAnswerMessage(answer, names)); err != nil {
		h.log.Error(err, event.CustomerReportInvalid, "from", r.RemoteAddr, "entry", report.Entry)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The client needs neither header, which take 70 bytes of each answer.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	// An error means that the connection is closed. The allocator then frees the grants with the next report.
	_, _ = w.Write(content)
}

// decode returns the report of a message in either format.
func (h *CustomerQuotaHandler) decode(content []byte, compact bool) (quota.CustomerReport, error) {
	if compact {
		names := h.customers()
		return decodeReport(content, func(n customerName) string { return names[n] })
	}
	var m reportMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return quota.CustomerReport{}, eris.Wrap(err, "decode the report")
	}
	if m.Entry == "" {
		return quota.CustomerReport{}, errMessage
	}
	return m.report(), nil
}

// customers returns the customers of the configuration in force by their names in messages.
func (h *CustomerQuotaHandler) customers() map[customerName]string {
	limits := h.allocator.Limits()
	h.mu.Lock()
	defer h.mu.Unlock()
	if limits.Version == h.version {
		return h.names
	}
	h.version, h.names = limits.Version, make(map[customerName]string, len(limits.Limits))
	for _, l := range limits.Limits {
		name := nameOfCustomer(l.Name)
		if _, found := h.names[name]; found {
			l.Name = ""
		}
		h.names[name] = l.Name
	}
	return h.names
}

// Report implements quota.CustomerPeers. It returns an error when the entry can't be reached, takes no report, does not
// understand it, or its response is invalid.
func (c *Client) Report(ctx context.Context, address string, r quota.CustomerReport) (quota.CustomerAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.URL(address)+CustomerQuotaPath, bytes.NewReader(encodeReport(r)))
	if err != nil {
		return quota.CustomerAnswer{}, eris.Wrapf(err, "entry %s", address)
	}
	// The allocator does not need this header, which takes 32 bytes of each report.
	request.Header.Set("User-Agent", "")
	response, err := c.client.Do(request)
	if err != nil {
		return quota.CustomerAnswer{}, eris.Wrapf(err, "entry %s", address)
	}
	// An error of closing a body that was read says nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return quota.CustomerAnswer{}, eris.Wrapf(errNotTaken, "entry %s, status %d", address, response.StatusCode)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return quota.CustomerAnswer{}, eris.Wrapf(err, "entry %s", address)
	}
	names := make([]string, len(r.Customers))
	for i, u := range r.Customers {
		names[i] = u.Name
	}
	answer, err := decodeAnswer(content, names)
	return answer, eris.Wrapf(err, "entry %s", address)
}

func newReportMessage(r quota.CustomerReport) reportMessage {
	m := reportMessage{
		Entry: r.Entry, Process: r.Process, Number: r.Number, Applied: r.Applied, Allocator: r.Allocator, Early: r.Early,
		Names: make([]string, len(r.Customers)), Uses: make([]useMessage, len(r.Customers)),
	}
	for i, u := range r.Customers {
		m.Names[i] = u.Name
		m.Uses[i] = useMessage{u.Held, u.Returned, u.Want, round(u.Demand), round(u.Granted)}
	}
	return m
}

// report returns the report of a message. Only what is held may be negative.
func (m *reportMessage) report() quota.CustomerReport {
	r := quota.CustomerReport{
		Entry: m.Entry, Process: m.Process, Number: m.Number, Applied: m.Applied, Allocator: m.Allocator, Early: m.Early,
		Customers: make([]quota.CustomerUse, 0, len(m.Uses)),
	}
	for i, u := range m.Uses[:min(len(m.Uses), len(m.Names))] {
		r.Customers = append(r.Customers, quota.CustomerUse{
			Name: m.Names[i], Held: u[0], Returned: max(0, u[1]), Want: max(0, u[2]), Demand: max(0, u[3]), Granted: u[4],
		})
	}
	return r
}

// newAnswerMessage returns the message of the answer to a report about customers.
func newAnswerMessage(a quota.CustomerAnswer, names []string) answerMessage {
	m := answerMessage{
		Allocator: a.Allocator, IntervalMS: a.Interval.Milliseconds(), EarlyGapMS: a.EarlyGap.Milliseconds(),
		Shares: make([]*shareMessage, len(names)),
	}
	index := 0
	for _, s := range a.Customers {
		// The answer has the order of the report, without the customers that the allocator does not know.
		for names[index] != s.Name {
			index++
		}
		short := 0.0
		if s.Short {
			short = 1
		}
		m.Shares[index] = &shareMessage{
			s.Grant, round(s.Target), round(s.Debt), round(s.PerSecond), short, round(s.Available), round(s.Demand), round(s.Granted),
		}
		index++
	}
	if len(a.Others) > 0 {
		m.Others = make(map[string][2]float64, len(a.Others))
		for _, l := range a.Others {
			m.Others[l.Name] = [2]float64{round(l.Demand), round(l.Granted)}
		}
	}
	return m
}

// answer returns the answer of a message to a report about customers.
func (m *answerMessage) answer(names []string) quota.CustomerAnswer {
	a := quota.CustomerAnswer{
		Allocator: m.Allocator,
		Interval:  min(max(0, wire.Milliseconds(m.IntervalMS)), maxReportInterval),
		EarlyGap:  min(max(0, wire.Milliseconds(m.EarlyGapMS)), maxReportInterval),
		Customers: make([]quota.CustomerShare, 0, len(m.Shares)),
	}
	for i, s := range m.Shares[:min(len(m.Shares), len(names))] {
		if s == nil {
			continue
		}
		a.Customers = append(a.Customers, quota.CustomerShare{
			Name: names[i], Grant: max(0, s[0]), Target: max(0, s[1]), Debt: max(0, s[2]), PerSecond: max(0, s[3]), Short: s[4] != 0,
			Available: s[5], Demand: s[6], Granted: s[7],
		})
	}
	for name, l := range m.Others {
		a.Others = append(a.Others, quota.CustomerLoad{Name: name, Demand: l[0], Granted: l[1]})
	}
	return a
}

// round rounds to whole units from 100 on, and to tenths below.
func round(v float64) float64 {
	if math.Abs(v) >= 100 {
		return math.Round(v)
	}
	return math.Round(10*v) / 10
}

package member

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

const (
	// CustomerQuotaPath is the path of reports about the quotas of customers.
	CustomerQuotaPath = "/customer-quotas"
)

var (
	errNotTaken = eris.New("the entry takes no report now")
)

type (
	// CustomerQuotaHandler answers the reports of entries about the quotas of customers.
	CustomerQuotaHandler struct {
		allocator *quota.Allocator
		log       event.Log
	}
)

// NewCustomerQuotaHandler returns the HTTP handler of an allocator.
func NewCustomerQuotaHandler(allocator *quota.Allocator, log event.Log) *CustomerQuotaHandler {
	return &CustomerQuotaHandler{allocator: allocator, log: log}
}

// ServeHTTP implements http.Handler. It answers 503 when the allocator has no configuration, and for a report that arrives
// late.
func (h *CustomerQuotaHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report quota.CustomerReport
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil || report.Entry == "" {
		h.log.Error(err, event.CustomerReportInvalid, "from", r.RemoteAddr, "entry", report.Entry)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range report.Customers {
		u := &report.Customers[i]
		u.Returned, u.Want, u.Demand = max(0, u.Returned), max(0, u.Want), max(0, u.Demand)
	}
	answer, ok := h.allocator.Report(report)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for i := range answer.Customers {
		roundShare(&answer.Customers[i])
	}
	content, err := json.Marshal(answer)
	if err != nil {
		h.log.Error(err, event.CustomerReportInvalid, "from", r.RemoteAddr, "entry", report.Entry)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An error means that the connection is closed. The allocator then frees the grants with the next report.
	_, _ = w.Write(content)
}

// Report implements quota.CustomerPeers. It returns an error when the entry can't be reached, takes no report or its
// response is invalid.
func (c *Client) Report(ctx context.Context, address string, r quota.CustomerReport) (quota.CustomerAnswer, error) {
	var answer quota.CustomerAnswer
	for i := range r.Customers {
		u := &r.Customers[i]
		u.Demand, u.Granted = round(u.Demand), round(u.Granted)
	}
	content, err := json.Marshal(r)
	if err != nil {
		return answer, eris.Wrap(err, "encode the report")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.URL(address)+CustomerQuotaPath, bytes.NewReader(content))
	if err != nil {
		return answer, eris.Wrapf(err, "entry %s", address)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, eris.Wrapf(err, "entry %s", address)
	}
	// An error of closing a body that was read says nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, eris.Wrapf(errNotTaken, "entry %s, status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return quota.CustomerAnswer{}, eris.Wrapf(err, "entry %s", address)
	}
	answer.Interval, answer.EarlyGap = min(max(0, answer.Interval), time.Minute), min(max(0, answer.EarlyGap), time.Minute)
	for i := range answer.Customers {
		s := &answer.Customers[i]
		s.Grant, s.Target, s.Debt = max(0, s.Grant), max(0, s.Target), max(0, s.Debt)
	}
	return answer, nil
}

// roundShare rounds what needs no precision, which shortens an answer. Grants stay exact.
func roundShare(s *quota.CustomerShare) {
	s.Target, s.Debt, s.PerSecond = round(s.Target), round(s.Debt), round(s.PerSecond)
	s.Available, s.Demand, s.Granted = round(s.Available), round(s.Demand), round(s.Granted)
}

// round rounds to whole units from 100 on, and to tenths below.
func round(v float64) float64 {
	if math.Abs(v) >= 100 {
		return math.Round(v)
	}
	return math.Round(10*v) / 10
}

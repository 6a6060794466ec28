package partner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	figures       = 3
)

type (
	// Report counts the outcomes of many requests.
	Report struct {
		Requests   int `json:"requests"`
		Answered   int `json:"answered"`
		Refused    int `json:"refused"`
		Failed     int `json:"cut"`
		Duplicates int `json:"duplicates"`
		Mismatches int `json:"mismatches"`
		Replayed   int `json:"replayed"`
		Resends    int `json:"resends"`
		// DidNotRunClaims counts tries that were refused with "did not run".
		DidNotRunClaims int `json:"did_not_run_claims"`
		// DidNotRunKeys are the keys of which every try was refused so.
		DidNotRunKeys []string `json:"did_not_run_keys"`
		AnsweredKeys  []string `json:"answered_keys"`
		// DuplicateKeys are the keys with more than one fresh answer.
		DuplicateKeys   []string       `json:"duplicate_keys"`
		Reasons         map[string]int `json:"reasons"`
		FirstTokenMS    Percentiles    `json:"first_token_ms"`
		BetweenTokensMS Percentiles    `json:"between_tokens_ms"`
		TotalMS         Percentiles    `json:"total_ms"`
	}

	// Percentiles are times in milliseconds.
	Percentiles struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P95   float64 `json:"p95"`
		P99   float64 `json:"p99"`
		Max   float64 `json:"max"`
	}

	// Tally adds outcomes up to a report.
	Tally struct {
		mu         sync.Mutex
		report     Report
		firstToken *hdrhistogram.Histogram
		between    *hdrhistogram.Histogram
		total      *hdrhistogram.Histogram
	}
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		report:     Report{Reasons: make(map[string]int), DidNotRunKeys: []string{}, AnsweredKeys: []string{}, DuplicateKeys: []string{}},
		firstToken: hdrhistogram.New(1, highestMicros, figures),
		between:    hdrhistogram.New(1, highestMicros, figures),
		total:      hdrhistogram.New(1, highestMicros, figures),
	}
}

// Add counts an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Requests++
	switch o := o.(type) {
	case Answered:
		t.report.Answered++
		t.report.AnsweredKeys = append(t.report.AnsweredKeys, o.Key)
		record(t.total, o.Total)
		t.trace(&o.Trace)
	case Refused:
		t.report.Refused++
		if o.AllDidNotRun() {
			t.report.DidNotRunKeys = append(t.report.DidNotRunKeys, o.Key)
		}
		t.trace(&o.Trace)
	case Failed:
		t.report.Failed++
		t.trace(&o.Trace)
	}
}

// Report returns the sums and percentiles so far.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.FirstTokenMS = percentiles(t.firstToken)
	r.BetweenTokensMS = percentiles(t.between)
	r.TotalMS = percentiles(t.total)
	return r
}

func (t *Tally) trace(s *Trace) {
	t.report.Resends += s.Attempts - 1
	t.report.Duplicates += max(0, s.Answers-1)
	if s.Answers > 1 {
		t.report.DuplicateKeys = append(t.report.DuplicateKeys, s.Key)
	}
	t.report.Mismatches += s.Mismatches
	t.report.Replayed += s.Replayed
	t.report.DidNotRunClaims += s.DidNotRun
	for reason, n := range s.Reasons {
		t.report.Reasons[reason] += n
	}
	if s.FirstToken > 0 {
		record(t.firstToken, s.FirstToken)
	}
	for _, gap := range s.Gaps {
		record(t.between, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

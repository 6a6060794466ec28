package partner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicros is the highest duration of a histogram. Longer ones are recorded with this value.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

type (
	// Report counts the outcomes of the requests of a load.
	Report struct {
		Requests   int `json:"requests"`
		Answered   int `json:"answered"`
		Refused    int `json:"refused"`
		Failed     int `json:"cut"`
		Duplicates int `json:"duplicates"`
		Mismatches int `json:"mismatches"`
		Replayed   int `json:"replayed"`
		Resends    int `json:"resends"`
		// DidNotRunClaims counts attempts that were refused with the statement that the request did not run.
		DidNotRunClaims int `json:"did_not_run_claims"`
		// DidNotRunKeys are the keys of requests all of whose attempts were refused in this way.
		DidNotRunKeys []string `json:"did_not_run_keys"`
		AnsweredKeys  []string `json:"answered_keys"`
		// DuplicateKeys are the keys with more than one answer that was not replayed.
		DuplicateKeys   []string       `json:"duplicate_keys"`
		Reasons         map[string]int `json:"reasons"`
		FirstTokenMS    Percentiles    `json:"first_token_ms"`
		BetweenTokensMS Percentiles    `json:"between_tokens_ms"`
		TotalMS         Percentiles    `json:"total_ms"`
	}

	// Percentiles are percentiles of durations in milliseconds.
	Percentiles struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P95   float64 `json:"p95"`
		P99   float64 `json:"p99"`
		Max   float64 `json:"max"`
	}

	// Tally accumulates outcomes into a report. It is safe for concurrent use.
	Tally struct {
		mu            sync.Mutex
		report        Report
		firstToken    *hdrhistogram.Histogram
		betweenTokens *hdrhistogram.Histogram
		total         *hdrhistogram.Histogram
	}
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		report:        Report{Reasons: make(map[string]int), DidNotRunKeys: []string{}, AnsweredKeys: []string{}, DuplicateKeys: []string{}},
		firstToken:    hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		betweenTokens: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		total:         hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
}

// Add adds an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Requests++
	switch o := o.(type) {
	case Answered:
		t.report.Answered++
		t.report.AnsweredKeys = append(t.report.AnsweredKeys, o.Key)
		record(t.total, o.Total)
		t.addTrace(&o.Trace)
	case Refused:
		t.report.Refused++
		if o.AllDidNotRun() {
			t.report.DidNotRunKeys = append(t.report.DidNotRunKeys, o.Key)
		}
		t.addTrace(&o.Trace)
	case Failed:
		t.report.Failed++
		t.addTrace(&o.Trace)
	}
}

// Report returns the counts and percentiles of the outcomes added so far.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.FirstTokenMS = percentiles(t.firstToken)
	r.BetweenTokensMS = percentiles(t.betweenTokens)
	r.TotalMS = percentiles(t.total)
	return r
}

func (t *Tally) addTrace(s *Trace) {
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
		record(t.betweenTokens, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
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

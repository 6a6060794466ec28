package engine

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"time"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/port"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.settings.ChecksOrders && !e.mayOrder(r) {
		http.Error(w, "the order key is missing or wrong", http.StatusUnauthorized)
		return
	}
	var order port.EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	if !e.obey(order) {
		http.Error(w, "a higher fencing number is known", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) mayOrder(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(access.Bearer(r.Header)), []byte(e.settings.OrderKey)) == 1
}

func (e *Engine) obey(order port.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := OrderRecord{EngineOrder: order, UnixMS: time.Now().UnixMilli(), Running: len(e.streams)}
	record.Accepted = !e.settings.HeedsFencing || slices.Compare(order.Fencing[:], e.fencing[:]) > 0
	if record.Accepted {
		for _, model := range order.Models {
			if !slices.Contains(e.models, model) {
				record.Loads++
			}
		}
		e.fencing, e.role, e.models = order.Fencing, order.Role, order.Models
	}
	e.stats.Orders = append(e.stats.Orders, record)
	return record.Accepted
}

// serveLoad answers with a report that may be as old as the lag.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := time.Duration(e.settings.ReportLagMS) * time.Millisecond
	if e.reported.IsZero() || now.Sub(e.reported) >= lag {
		e.report, e.reported = e.measure(), now
	}
	report := e.report
	report.Role, report.Models = e.role, e.models
	report.AgeMS = now.Sub(e.reported).Milliseconds()
	writeJSON(w, report)
}

func (e *Engine) measure() port.EngineLoad {
	running := 0
	for _, s := range e.streams {
		if s.state == stateDecoding {
			running++
		}
	}
	return port.EngineLoad{
		TotalPieces: e.settings.Pieces,
		FreePieces:  e.settings.Pieces - e.used,
		PieceTokens: e.settings.PieceTokens,
		Running:     running,
		Waiting:     e.prefill.length(),
		StepUS:      e.stepTime(running).Microseconds(),
	}
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.UsedPieces = e.used
	writeJSON(w, e.stats)
}

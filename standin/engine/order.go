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
	if e.settings.ChecksOrders && !e.hasOrderKey(r) {
		http.Error(w, "the order key is missing or wrong", http.StatusUnauthorized)
		return
	}
	var order port.EngineOrder
	if !decodeRequest(w, r, &order) {
		return
	}
	if !e.applyOrder(order) {
		http.Error(w, "a higher fencing number is known", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) hasOrderKey(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(access.Bearer(r.Header)), []byte(e.settings.OrderKey)) == 1
}

// applyOrder records an order, applies it if it is accepted, and reports whether it was accepted. With HeedsFencing,
// an order is accepted only if its fencing number is higher than that of the last accepted order.
func (e *Engine) applyOrder(order port.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := OrderRecord{EngineOrder: order, UnixMS: time.Now().UnixMilli(), Running: len(e.streams)}
	record.Accepted = !e.settings.HeedsFencing || slices.Compare(order.Fencing[:], e.lastFencing[:]) > 0
	if record.Accepted {
		for _, model := range order.Models {
			if !slices.Contains(e.models, model) {
				record.Loads++
			}
		}
		e.lastFencing, e.role, e.models = order.Fencing, order.Role, order.Models
	}
	e.stats.Orders = append(e.stats.Orders, record)
	return record.Accepted
}

// serveLoad answers with a load report that is up to ReportLagMS old. Its role and models are current.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := time.Duration(e.settings.ReportLagMS) * time.Millisecond
	if e.loadMeasuredAt.IsZero() || now.Sub(e.loadMeasuredAt) >= lag {
		e.cachedLoad, e.loadMeasuredAt = e.measureLoad(), now
	}
	report := e.cachedLoad
	report.Role, report.Models = e.role, e.models
	report.AgeMS = now.Sub(e.loadMeasuredAt).Milliseconds()
	writeJSON(w, report)
}

func (e *Engine) measureLoad() port.EngineLoad {
	running := 0
	for _, s := range e.streams {
		if s.state == stateDecoding {
			running++
		}
	}
	return port.EngineLoad{
		TotalPieces: e.settings.Pieces,
		FreePieces:  e.settings.Pieces - e.usedPieces,
		PieceTokens: e.settings.PieceTokens,
		Running:     running,
		Waiting:     e.prefillSlot.queueLength(),
		StepUS:      e.stepDuration(running).Microseconds(),
	}
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.UsedPieces = e.usedPieces
	writeJSON(w, e.stats)
}

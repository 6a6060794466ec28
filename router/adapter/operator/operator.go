// Package operator serves the metrics, the state dump and the drain command of a process over HTTP.
package operator

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"gooseberrypin.example/router/access"
)

// NewHandler returns the handler of the operators' address. It serves the metrics at GET /debug/vars and the result of
// state, as JSON, at GET /debug/state. POST /drain calls drain and is served only when drain is not nil. Requests must
// carry one of the keys, unless there are none.
func NewHandler(keys []string, metrics *expvar.Map, state func() any, drain func()) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, metrics.String())
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(state()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	if drain != nil {
		mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
			drain()
			w.WriteHeader(http.StatusAccepted)
		})
	}
	if len(keys) == 0 {
		return mux
	}
	return access.NewKeys(keys...).Require(mux)
}

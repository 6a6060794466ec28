// Package operator serves the metrics and the state dump of a process.
package operator

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"gooseberrypin.example/router/access"
)

// NewHandler returns the operators' pages: /debug/vars, /debug/state and, when drain is
// set, POST /drain. They want one of the keys, if there are any.
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

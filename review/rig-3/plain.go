package main

import (
	"fmt"
	"net/http"
	"time"
)

type (
	// plain is a server of a plain service within this process.
	plain struct {
		rig     *rig
		id      string
		address string
		service string
		born    int64
		handle  func(p *plain, w http.ResponseWriter, q *http.Request)
		server  *http.Server
	}
)

// startPlain starts a server and registers it.
func (r *rig) startPlain(service string, handle func(p *plain, w http.ResponseWriter, q *http.Request)) *plain {
	l := listen("127.0.0.1:0")
	p := &plain{rig: r, id: fmt.Sprintf("i-plain-%02d", incarnations.Add(1)), address: l.Addr().String(), service: service, born: time.Now().UnixMilli(), handle: handle}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	p.register("ready")
	return p
}

func (p *plain) register(state string) {
	p.rig.store.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": "sul-a", "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "sequence": 4, "born": p.born,
	})
}

func (p *plain) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	if t := q.Header.Get("Target-Instance"); t != "" && t != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.handle(p, w, q)
}

// sign gives an answer of a run.
func sign(w http.ResponseWriter, q *http.Request, body string) {
	w.Header().Set("Server-Signature", "sig."+q.Header.Get("Attempt-Id"))
	_, _ = w.Write([]byte(body))
}

package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	maxBodyBytes = 64 << 20
)

// ReadHandler returns the handler of the read-only protocol, which entries and sidecars use.
func (p *Platform) ReadHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifest", func(w http.ResponseWriter, r *http.Request) {
		p.serveWatch(w, r, &p.reads.Manifest, func(c content, after int64) []byte {
			if c.revision <= after {
				return nil
			}
			return c.manifest
		})
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		p.serveWatch(w, r, &p.reads.VMs, func(c content, after int64) []byte {
			if c.version <= after {
				return nil
			}
			return c.vms
		})
	})
	mux.HandleFunc("GET /v1/parts/{sha256}", p.servePart)
	return mux
}

// AdminHandler returns the handler of the admin protocol, which operators and tests use.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /manifest", func(w http.ResponseWriter, r *http.Request) {
		serveUpdate(w, r, "revision", p.Publish)
	})
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		serveUpdate(w, r, "version", p.PublishVMs)
	})
	mux.HandleFunc("POST /mode", func(w http.ResponseWriter, r *http.Request) {
		if err := p.SetMode(Mode(r.URL.Query().Get("state"))); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Reads())
	})
	return mux
}

// serveWatch answers with the content that newer returns, or with status 204 if there is none before the wait of
// the request expires. kind is the counter of the read.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind *int64, newer func(content, int64) []byte) {
	if p.countRead(kind) {
		serveDown(w)
		return
	}
	after, err := queryNumber(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := queryNumber(r, "wait_ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := time.Duration(waitMS) * time.Millisecond
	found, up := p.waitFor(r.Context(), wait, func(c content) []byte { return newer(c, after) })
	switch {
	case !up:
		serveDown(w)
	case found == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(found)
	}
}

func (p *Platform) servePart(w http.ResponseWriter, r *http.Request) {
	if p.countRead(&p.reads.Part) {
		serveDown(w)
		return
	}
	part := p.findPart(r.PathValue("sha256"))
	if part == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(part)
}

func serveDown(w http.ResponseWriter) {
	http.Error(w, "the platform is down", http.StatusServiceUnavailable)
}

// serveUpdate passes the body to update and answers with the number that it returns, the revision or version.
func serveUpdate(w http.ResponseWriter, r *http.Request, numberName string, update func([]byte) (int64, error)) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number, err := update(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]int64{numberName: number})
}

// queryNumber returns an integer parameter, or 0 if it is absent.
func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

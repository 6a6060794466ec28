package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/port"
)

const (
	readBytes = 64 << 10
)

type (
	pulled struct {
		*bufio.Reader
		io.Closer
	}
)

// serveImport allocates pieces, pulls the KV cache and reports the progress line by line.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var work port.ImportWork
	if !readJSON(w, r, &work) {
		return
	}
	body, kv, err := pull(r.Context(), work)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	defer func() { _ = body.Close() }()
	if !e.serves(roleDecode, kv.Model) {
		http.Error(w, "role or model not served", http.StatusConflict)
		return
	}
	if !e.allocate(work.StreamID, kv) {
		http.Error(w, "no free pieces", http.StatusInsufficientStorage)
		return
	}
	e.receive(w, work.StreamID, body, kv)
}

func pull(ctx context.Context, work port.ImportWork) (*pulled, *export, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+work.SourceAddress+"/v1/kv/"+work.KVHandle, nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	body := &pulled{Reader: bufio.NewReaderSize(response.Body, readBytes), Closer: response.Body}
	if response.StatusCode != http.StatusOK {
		_ = body.Close()
		return nil, nil, eris.New("the KV cache is gone")
	}
	line, err := body.ReadBytes('\n')
	if err != nil {
		_ = body.Close()
		return nil, nil, err
	}
	kv := &export{}
	return body, kv, json.Unmarshal(line, kv)
}

func (e *Engine) receive(w http.ResponseWriter, id string, body io.Reader, kv *export) {
	lines := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	chunk := make([]byte, readBytes)
	progress := port.ImportProgress{TotalBytes: kv.Bytes}
	for {
		n, err := body.Read(chunk)
		progress.ReceivedBytes += int64(n)
		progress.Done = progress.ReceivedBytes >= kv.Bytes
		if err != nil && !progress.Done {
			progress.Failure = err.Error()
		}
		if progress.Done {
			e.imported(id)
		}
		if lines.Encode(progress) != nil || err != nil || progress.Done {
			return
		}
		_ = controller.Flush()
	}
}

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
	chunkBytes = 64 << 10
)

type (
	// kvBody is the rest of a response of serveKV, after the line that describes the KV cache.
	kvBody struct {
		*bufio.Reader
		io.Closer
	}
)

// serveImport requests the KV cache from its source, reserves pieces for it and reports the progress of
// the transfer as lines of JSON.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var work port.ImportWork
	if !decodeRequest(w, r, &work) {
		return
	}
	body, kv, err := pullKV(r.Context(), work)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	defer func() { _ = body.Close() }()
	if !e.serves(roleDecode, kv.Model) {
		http.Error(w, "role or model not served", http.StatusConflict)
		return
	}
	if !e.addStream(work.StreamID, kv) {
		http.Error(w, "no free pieces", http.StatusInsufficientStorage)
		return
	}
	e.receiveKV(w, work.StreamID, body, kv)
}

// pullKV requests a KV cache from the exporting engine. It returns the body with the bytes of the cache and
// the description that precedes them.
func pullKV(ctx context.Context, work port.ImportWork) (*kvBody, *kvExport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+work.SourceAddress+"/v1/kv/"+work.KVHandle, nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	body := &kvBody{Reader: bufio.NewReaderSize(response.Body, chunkBytes), Closer: response.Body}
	if response.StatusCode != http.StatusOK {
		_ = body.Close()
		return nil, nil, eris.New("the KV cache is gone")
	}
	header, err := body.ReadBytes('\n')
	if err != nil {
		_ = body.Close()
		return nil, nil, err
	}
	kv := &kvExport{}
	return body, kv, json.Unmarshal(header, kv)
}

// receiveKV reads the bytes of a KV cache and writes a progress line after each read. It marks the
// stream as ready when all bytes have arrived.
func (e *Engine) receiveKV(w http.ResponseWriter, id string, body io.Reader, kv *kvExport) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	chunk := make([]byte, chunkBytes)
	progress := port.ImportProgress{TotalBytes: kv.Bytes}
	for {
		n, err := body.Read(chunk)
		progress.ReceivedBytes += int64(n)
		progress.Done = progress.ReceivedBytes >= kv.Bytes
		if err != nil && !progress.Done {
			progress.Failure = err.Error()
		}
		if progress.Done {
			e.markReady(id)
		}
		if encoder.Encode(progress) != nil || err != nil || progress.Done {
			return
		}
		_ = controller.Flush()
	}
}

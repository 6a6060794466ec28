package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	httpTimeout = 3 * time.Second
)

// get returns the body of the response to a GET. It fails for a status of 300 or above.
func get(address, path string) ([]byte, error) {
	return doRequest(http.MethodGet, address, path, nil)
}

// doRequest sends an HTTP request on a new connection and returns the body of the response. It fails for a status
// of 300 or above.
func doRequest(method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Errorf("%s %s: %s: %s", method, path, response.Status, content)
	}
	return content, nil
}

func putJSON(address, path string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, path)
	}
	_, err = doRequest(http.MethodPut, address, path, content)
	return err
}

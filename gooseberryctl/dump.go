package gooseberryctl

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/response"
)

const (
	// operatorKeyVariable is the name of the environment variable with the key for operators' addresses.
	operatorKeyVariable = "GOOSEBERRY_OPERATOR_KEY"
)

var (
	// httpClient is the client of all commands, which bounds their idle connections together.
	httpClient = response.NewClient()
)

type (
	// DumpCommand prints the state dump of a process.
	DumpCommand struct {
		Address string `arg:"" help:"Operators' IP:port of the process."`
	}

	// DrainCommand starts the planned stop of a process.
	DrainCommand struct {
		Address string `arg:"" help:"Operators' IP:port of the process."`
	}
)

// Run implements the command.
func (c *DumpCommand) Run(o *output) error {
	content, err := request(context.Background(), http.MethodGet, c.Address, "/debug/state")
	if err != nil {
		return err
	}
	_, err = o.out.Write(content)
	return eris.Wrap(err, "dump")
}

// Run implements the command.
func (c *DrainCommand) Run(o *output) error {
	if _, err := request(context.Background(), http.MethodPost, c.Address, "/drain"); err != nil {
		return err
	}
	return o.print(map[string]string{"draining": c.Address}, []string{"DRAINING"}, [][]string{{c.Address}})
}

// operatorKey returns the key for operators' addresses, or "" if none is set.
func operatorKey() string {
	return strings.TrimSpace(os.Getenv(operatorKeyVariable))
}

// request sends a request to an operators' address and returns the response body. A status of 300 or above is an error.
func request(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, address)
	}
	if key := operatorKey(); key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	answer, err := httpClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, address)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Errorf("%s: status %s", address, answer.Status)
	}
	content, err := io.ReadAll(answer.Body)
	return content, eris.Wrap(err, address)
}

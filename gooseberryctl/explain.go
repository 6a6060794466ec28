package gooseberryctl

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/adapter/platform"
	"gooseberrypin.example/router/configuration"
)

const (
	readTimeout = 5 * time.Second
)

type (
	// ExplainCommand explains the routing of a request by a configuration, the pools of an upstream, the outcome of a logged
	// request, or where an entry would send a request now.
	ExplainCommand struct {
		File     string   `xor:"source" type:"existingfile" help:"Configuration file to explain."`
		Platform string   `xor:"source" help:"IP:port of the platform whose configuration to explain."`
		Log      []string `xor:"source" type:"existingfile" help:"Log file of a process, for --request. The flag may be repeated."`
		Partner  string   `help:"Partner that sends the request."`
		Model    string   `help:"Model of the request."`
		Service  string   `xor:"what" help:"Service of the request."`
		Upstream string   `xor:"what" help:"Upstream to explain."`
		Request  string   `xor:"what" help:"ID of a served or refused request, as sent by its caller."`
		Entry    string   `xor:"what,source" help:"Control IP:port of the entry to ask where it would send a request now, and why. Nothing is sent."`

		EntryRequest `embed:"" group:"The request for --entry"`
	}
)

// Validate implements the check of the command line. Besides --entry, --model is exclusive like the other flags of its kind.
func (c *ExplainCommand) Validate() error {
	others := map[string]string{"--service": c.Service, "--upstream": c.Upstream, "--request": c.Request}
	set := c.Model != "" || c.Entry != ""
	for _, flag := range []string{"--service", "--upstream", "--request"} {
		if c.Model != "" && others[flag] != "" {
			return eris.Errorf("--model and %s can't be used together", flag)
		}
		set = set || others[flag] != ""
	}
	if !set {
		return eris.New("missing flags: --model=STRING or --service=STRING or --upstream=STRING or --request=STRING or --entry=STRING")
	}
	if c.Entry == "" && c.isSet() {
		return eris.New("the flags of a request for an entry require --entry")
	}
	return nil
}

// Run implements the command.
func (c *ExplainCommand) Run(o *output) error {
	switch {
	case c.Entry != "":
		return explainEntry(o, c.Entry, c.Model, c.EntryRequest)
	case c.Request != "" && len(c.Log) == 0:
		return &faultError{message: "--request requires the log files of the entries: set --log"}
	case c.Request != "":
		return explainRequest(o, c.Request, c.Log)
	case c.File == "" && c.Platform == "":
		return &faultError{message: "no configuration: set --file or --platform"}
	}
	index, err := c.index()
	if err != nil {
		return err
	}
	if c.Upstream != "" {
		return explainUpstream(o, index, c.Upstream)
	}
	e := index.ExplainService(c.Partner, c.Service)
	if c.Model != "" {
		e = index.ExplainModel(c.Partner, c.Model)
	}
	rows := make([][]string, 0, len(e.Pools))
	for _, p := range e.Pools {
		rows = append(rows, []string{p.Pool, string(p.Role), p.Selector, joinOrDash(p.Upstreams), joinOrDash(p.Leaving)})
	}
	if err := o.print(e, []string{"POOL", "ROLE", "SELECTOR", "UPSTREAMS", "OF THESE LEAVING"}, rows); err != nil {
		return err
	}
	o.printLine("rule %s; may be repeated: %v", orDash(e.Rule), e.Repeatable)
	if e.Problem != "" {
		return &faultError{message: "refused: " + e.Problem}
	}
	return nil
}

// explainUpstream prints whether an upstream is in each pool, and the selector terms that it does not match.
func explainUpstream(o *output, index *configuration.Index, name string) error {
	e := index.ExplainUpstream(name)
	if e == nil {
		return &faultError{message: "the configuration has no upstream " + name}
	}
	rows := make([][]string, 0, len(e.Pools))
	for _, p := range e.Pools {
		in := "no"
		if p.Matches {
			in = "yes"
		}
		rows = append(rows, []string{p.Pool, string(p.Role), p.Selector, in, joinOrDash(p.Unmet)})
	}
	if err := o.print(e, []string{"POOL", "ROLE", "SELECTOR", "IN", "NOT MET"}, rows); err != nil {
		return err
	}
	o.printLine("labels %v; leaving: %v", e.Labels, e.Leaving)
	return nil
}

// index returns the index of the configuration in the file, or of the one that the platform serves.
func (c *ExplainCommand) index() (*configuration.Index, error) {
	if c.File != "" {
		return readIndex(c.File)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	client := platform.NewClient(c.Platform, httpClient)
	manifest, err := client.Manifest(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	m, faults := configuration.ReadManifest(manifest)
	if len(faults) > 0 {
		return nil, &faultError{message: "the platform's manifest is not valid: " + faults[0].String()}
	}
	parts := make(map[string][]byte)
	for _, p := range m.Missing(nil) {
		if parts[p.SHA256], err = client.Part(ctx, p.SHA256); err != nil {
			return nil, eris.Wrap(err, p.Name)
		}
	}
	s, faults := configuration.Build(manifest, parts)
	if len(faults) > 0 {
		return nil, &faultError{message: "the platform's configuration is not valid: " + faults[0].String()}
	}
	return s.Index, nil
}

package gooseberryctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gooseberryctl"
	"gooseberrypin.example/platform"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/operator"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/vm"
)

const (
	fleetKey = "fleet key for tests"
)

type (
	// peers answers heartbeats with a fixed view.
	peers struct {
		fleetv1.Peers
		name     string
		revision int64
		digest   string
		draining bool
	}
)

func (p *peers) Heartbeat(context.Context, *fleetv1.HeartbeatRequest) (*fleetv1.HeartbeatResponse, error) {
	return &fleetv1.HeartbeatResponse{
		Process: &fleetv1.Process{Name: p.name, Kind: "entry", Draining: p.draining},
		View:    &fleetv1.View{Revision: p.revision, Digest: p.digest},
	}, nil
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = gooseberryctl.Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// write writes the edited configuration of a deployment to a file and returns the file's name.
func write(t *testing.T, edit func(*configuration.Configuration)) string {
	c := gooseberryctl.Deployment("varal", access.NewDigest("x").String())
	edit(c)
	content, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// address serves a handler and returns its IP:port.
func address(t *testing.T, handler http.Handler) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// platformOf serves a VM list of the processes and a manifest of the revision, and returns the platform's IP:port.
func platformOf(t *testing.T, revision int64, processes ...*peers) string {
	list := vm.List{Version: 1}
	for _, p := range processes {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		s := httptest.NewUnstartedServer(access.NewKeys(fleetKey).Require(fleetv1.NewPeersServer(p)))
		s.Config.Protocols = protocols
		s.Start()
		t.Cleanup(s.Close)
		list.VMs = append(list.VMs, vm.VM{Name: p.name, State: vm.Live, FleetAddress: strings.TrimPrefix(s.URL, "http://")})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) })
	mux.HandleFunc("GET /v1/manifest", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"revision":%d,"parts":[{"name":"a","sha256":"%s","bytes":1}]}`, revision, access.NewDigest("a").String())
	})
	return address(t, mux)
}

func TestDeploymentsAreValid(t *testing.T) {
	cases := map[string]struct {
		dataCentres, engines, services int
	}{
		"varal":    {3, 9, 3},
		"kalamaki": {4, 18, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "start.json")
			code, _, errs := run("init", "--deployment", name, "--credential", access.NewDigest("x").String(), "-o", file)
			is.Equal(errs, "")
			is.Equal(code, gooseberryctl.ExitOK)
			code, _, _ = run("check", file)
			is.Equal(code, gooseberryctl.ExitOK)
			content, err := os.ReadFile(file)
			is.NoErr(err)
			read, faults := configuration.Read(content)
			is.Equal(len(faults), 0)
			kinds, centres := map[configuration.Kind]int{}, map[string]bool{}
			for _, u := range read.Upstreams {
				kinds[u.Kind]++
				centres[u.DataCentre] = true
			}
			is.Equal(kinds[configuration.KindEngine], c.engines)
			is.Equal(kinds[configuration.KindService], c.services)
			is.Equal(len(centres), c.dataCentres)
			for _, r := range read.Rules {
				is.True(!r.Repeatable)
			}
		})
	}
}

func TestCommandsOnFiles(t *testing.T) {
	good := write(t, func(*configuration.Configuration) {})
	bad := write(t, func(c *configuration.Configuration) { c.Pools[0].Selector = "role like x" })
	moved := write(t, func(c *configuration.Configuration) {
		c.Revision = 2
		c.Upstreams[0].Labels["role"] = "decode"
	})
	cases := map[string]struct {
		args []string
		code int
		want string // part of standard output or standard error
	}{
		"valid":              {[]string{"check", good}, 0, "is valid: 12 upstreams, 3 pools, 2 rules, 1 partners"},
		"fault":              {[]string{"check", bad}, 1, "pools[0].selector: selector:"},
		"fault as JSON":      {[]string{"--json", "check", bad}, 1, `"path": "pools[0].selector"`},
		"no file":            {[]string{"check", "missing.json"}, 2, "missing.json"},
		"unknown command":    {[]string{"x"}, 2, "unexpected argument x"},
		"no credential":      {[]string{"init", "--deployment", "varal"}, 2, "--credential"},
		"plain credential":   {[]string{"init", "--deployment", "varal", "--credential", "secret"}, 1, "credential_sha256"},
		"changed role":       {[]string{"diff", good, moved}, 0, "moved   care-assistant-prefill  care-assistant-decode"},
		"lower revision":     {[]string{"diff", moved, good}, 1, "revision 1 is not above 2"},
		"model":              {[]string{"explain", "--file", good, "--partner", "volunteer-line", "--model", "care-assistant"}, 0, "care-assistant-decode-1,"},
		"unknown partner":    {[]string{"explain", "--file", good, "--partner", "x", "--service", "booking-desk"}, 1, `no partner "x"`},
		"upstream":           {[]string{"explain", "--file", good, "--upstream", "booking-desk-1"}, 0, "service=booking-desk"},
		"no processes":       {[]string{"status"}, 1, "--platform"},
		"no fleet key":       {[]string{"status", "--platform", "127.0.0.1:1"}, 1, "fleet key"},
		"unreachable":        {[]string{"dump", "127.0.0.1:1"}, 1, "127.0.0.1:1"},
		"exit codes in help": {[]string{"--help"}, 0, "Exit codes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(c.args...)
			is.New(t).Equal(code, c.code)
			if !strings.Contains(out+errs, c.want) {
				t.Errorf("want %q in\n%s%s", c.want, out, errs)
			}
		})
	}
}

func TestStatusAndWatch(t *testing.T) {
	cases := map[string]struct {
		processes []*peers
		code      int
		want      string
	}{
		"in force": {[]*peers{{name: "a", revision: 4, digest: "d"}, {name: "b", revision: 4, digest: "d", draining: true}}, 0, "in force on 2 of 2"},
		"behind":   {[]*peers{{name: "a", revision: 4, digest: "d"}, {name: "b", revision: 3, digest: "c"}}, 1, "BEHIND"},
		"conflict": {[]*peers{{name: "a", revision: 4, digest: "d"}, {name: "b", revision: 4, digest: "c"}}, 1, "CONFLICT"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Setenv("GOOSEBERRY_FLEET_KEY", fleetKey)
			platform := platformOf(t, 4, c.processes...)
			for _, args := range [][]string{{"status"}, {"watch", "--timeout", "1ms"}} {
				code, out, errs := run(append(args, "--platform", platform)...)
				is.New(t).Equal(code, c.code)
				if !strings.Contains(out, c.want) {
					t.Errorf("want %q in\n%s%s", c.want, out, errs)
				}
			}
		})
	}
}

func TestStatusWithTheWrongKey(t *testing.T) {
	t.Setenv("GOOSEBERRY_FLEET_KEY", "other key for tests")
	platform := platformOf(t, 4, &peers{name: "a", revision: 4, digest: "d"})
	code, out, _ := run("status", "--platform", platform)
	is.New(t).Equal(code, gooseberryctl.ExitFaults)
	is.New(t).True(strings.Contains(out, "UNREACHABLE"))
}

func TestStatusByOperatorAddresses(t *testing.T) {
	is := is.New(t)
	dump := `{"process":{"name":"entry-1","kind":"entry","draining":false},"configuration":{"revision":4,"digest":"d","refused_revision":5}}`
	operator := address(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, dump) }))
	code, out, _ := run("status", operator)
	is.Equal(code, gooseberryctl.ExitOK)
	is.True(strings.Contains(out, "rejected revision 5"))
	code, out, _ = run("--json", "status", operator, "127.0.0.1:1")
	is.Equal(code, gooseberryctl.ExitFaults)
	is.True(strings.Contains(out, `"state": "UNREACHABLE"`))
}

// check --settings applies the checks of the process that reads the settings.
func TestCheckSettings(t *testing.T) {
	const valid = `{"name":"edge-1","region":"sul","data_centre":"sul-a","caller_address":"10.1.0.38:8149","ready_address":"10.1.0.38:8141",` +
		`"control_address":"10.1.0.38:8144","metrics_address":"10.1.0.38:9100","store_address":"10.200.1.7:8142","peer_addresses":[],` +
		`"memory_mb":134,"config_deadline_ms":4000,"drain_ms":4000,"grace_s":8,"retry":{"ratio":0.2,"window_s":10,"slack":52}}`
	tests := map[string]struct {
		kind, content string
		code          int
		want          string
	}{
		"valid":        {"platform", valid, gooseberryctl.ExitOK, "the settings are valid"},
		"fault":        {"platform", strings.Replace(valid, "134", "0", 1), gooseberryctl.ExitFaults, "memory_mb: 0 is not positive"},
		"not JSON":     {"platform", "name = 1", gooseberryctl.ExitFaults, "invalid character"},
		"other kind":   {"entry", valid, gooseberryctl.ExitFaults, "unknown field"},
		"sidecar":      {"sidecar", `{"name":"s"}`, gooseberryctl.ExitFaults, "upstream_address"},
		"unknown kind": {"desk", valid, gooseberryctl.ExitUsage, "--settings must be one of"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(tt.content), 0o600))
			code, out, errs := run("check", "--settings", tt.kind, file)
			is.Equal(code, tt.code)
			is.True(strings.Contains(out+errs, tt.want))
		})
	}
}

// status accepts the control addresses of platform entries like the operators' addresses of other processes.
func TestStatusOfPlatformEntries(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for i, revision := range []int64{7, 7, 5} {
		state := platform.State{
			Process:       operator.Process{Name: fmt.Sprint("edge-", i), Kind: "entry", DataCentre: "sul-a"},
			Configuration: platform.Configuration{Revision: revision, InForceSince: time.Now().Add(-time.Minute)},
		}
		s := httptest.NewServer(operator.NewHandler(nil, new(expvar.Map).Init(), func() any { return state }, nil))
		defer s.Close()
		addresses = append(addresses, s.Listener.Addr().String())
	}
	code, out, _ := run(append([]string{"status"}, addresses...)...)
	is.Equal(code, gooseberryctl.ExitFaults)
	is.True(strings.Contains(out, "revision 7 in force on 2 of 3"))
	is.True(strings.Contains(out, "BEHIND"))
	is.True(strings.Contains(out, "1m0s"))
	code, out, _ = run("dump", addresses[0])
	is.Equal(code, gooseberryctl.ExitOK)
	is.True(strings.Contains(out, `"name": "edge-0"`))
}

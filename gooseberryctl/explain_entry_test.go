package gooseberryctl_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/gooseberryctl"
	"gooseberrypin.example/platform"
	"gooseberrypin.example/platform/settings"
	"gooseberrypin.example/platform/store/storetest"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/explain"
	"gooseberrypin.example/router/event"
)

const (
	customerKey = "asnmgkcuyj8pjbvk9m68"

	entryConfiguration = `{"version":7,"tenants":[{"name":"line","apiKeys":["` + customerKey + `"],"ratePerS":50000,"burst":50000}],"routes":[` +
		`{"name":"again","host":"a.example","pathPrefix":"/again/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":900,"service":"chat","maxAttempts":2,"resumable":true,"targetGapMs":300},` +
		`{"name":"page","host":"a.example","pathPrefix":"/page/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":300,"service":"desk","maxAttempts":2}],` +
		`"services":[{"name":"chat","engine":{"kvCapacity":40000,"stride":12,"kvHoldS":0.5,"holdMs":2000}},{"name":"desk"}],"limits":{"maxBodyBytes":100000,"idleTimeoutMs":15000}}`
)

var (
	entryPorts atomic.Int64
)

// freeAddress returns an address that no other process uses: its loopback host depends on the process ID.
func freeAddress() string {
	return fmt.Sprintf("127.%d.%d.2:%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 10_000+entryPorts.Add(1))
}

// startEntry starts an entry with a configuration, or without one if it is empty, and returns its control address. Servers get
// an address at which nothing listens.
func startEntry(t *testing.T, config string) string {
	store := storetest.New()
	if config != "" {
		store.Put("op/config", config)
	}
	for id, role := range map[string][2]string{"p1": {"chat", "prefill"}, "d1": {"chat", "decode"}, "s1": {"desk", ""}} {
		store.Put("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":4,"state":"ready","phase":%q,"born":1}`, role[0], freeAddress(), role[1]))
	}
	s := settings.Settings{
		Name: "entry-1", Region: "r", DataCentre: "z", CallerAddress: freeAddress(), ReadyAddress: freeAddress(), ControlAddress: freeAddress(), MetricsAddress: freeAddress(),
		StoreAddress: address(t, store), MemoryMB: 134, ConfigDeadlineMS: 2000, DrainMS: 2000, GraceS: 2, Retry: settings.Retry{Ratio: 1, WindowS: 10, Slack: 250},
		Pace: settings.Pace{Enabled: true},
	}
	e := platform.New(s, event.Discard())
	go func() { _ = e.Run(t.Context()) }()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		a, err := http.Get("http://" + s.ControlAddress + "/debug/state")
		if err == nil {
			_ = a.Body.Close()
			if state := e.State(); len(state.Upstreams) == 3 && (config == "" || state.Configuration.Revision > 0) {
				return s.ControlAddress
			}
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("the entry has not read the store within 10 s")
		}
	}
}

// writeKey writes a key to a file and returns the file's name.
func writeKey(t *testing.T, key string) string {
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against output that lacks what operators need: the route, the customer, the candidates with their states and the
// outcome.
func TestExplainShowsWhereAnEntryWouldSendARequest(t *testing.T) {
	entry := startEntry(t, entryConfiguration)
	key := writeKey(t, customerKey)
	// The entry's part of the quota accumulates after its start.
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		if _, out, _ := run("explain", "--entry", entry, "--host", "a.example", "--path", "/page/x", "--key-file", key); strings.Contains(out, "not refused") {
			break
		}
	}
	tests := map[string]struct {
		args []string
		want []string
	}{
		"call": {
			[]string{"--path", "/page/x", "--method", "GET", "--key-file", key},
			[]string{"entry entry-1 in z, revision 7", "route page, kind idempotent, priority 0", "customer line", "quota: counts as 1 requests; 50000 a second", "content: free", "desk  none   s1", "usable", "4.0, here 4", "1.000", "upstream: s1 by load", "not refused"},
		},
		"generation": {
			[]string{"--path", "/again/x", "--model", "m", "--tokens", "1460,80", "--prompt-parts", "a:1000,b:460", "--wait", "3s", "--key-file", key},
			[]string{"kind resumable_stream", "memory: 1540 tokens, 0 wait, 0 before it; an engine is asked at once", "decode: d1 by load", "prefill: p1 by load", "not refused"},
		},
		"model without tokens": {
			[]string{"--path", "/again/x", "--model", "m", "--key-file", key}, []string{"memory: 1 tokens", "decode: d1 by load", "not refused"},
		},
		"unknown route": {[]string{"--path", "/none/x", "--key-file", key}, []string{"refused: unknown_rule, status 404: no route for a.example/none/x"}},
		"unknown key":   {[]string{"--path", "/page/x", "--key-file", writeKey(t, "another")}, []string{"no customer", "refused: unauthenticated, status 401: unknown key"}},
		"no key":        {[]string{"--path", "/page/x"}, []string{"refused: unauthenticated, status 401: no key"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := append([]string{"explain", "--entry", entry, "--host", "a.example"}, tt.args...)
			code, out, errs := run(args...)
			is.Equal(errs, "")
			is.Equal(code, gooseberryctl.ExitOK)
			for _, text := range tt.want {
				if !strings.Contains(out, text) {
					t.Errorf("the output lacks %q:\n%s", text, out)
				}
			}
			is.True(!strings.Contains(out, customerKey))
			code, out, _ = run(append([]string{"--json"}, args...)...)
			is.Equal(code, gooseberryctl.ExitOK)
			var a explain.Answer
			is.NoErr(json.Unmarshal([]byte(out), &a))
			is.Equal(a.Entry, "entry-1")
			is.Equal(a.Version, int64(7))
			if a.Refusal != nil {
				t.Log(a.Refusal.Why)
			}
			is.Equal(a.Refusal == nil, strings.HasPrefix(tt.want[len(tt.want)-1], "not refused"))
		})
	}
}

// Guards against a key that leaves the process: the entry gets its digest only, also of a key from standard input, and no
// output has it.
func TestExplainSendsTheDigestOfTheKeyOnly(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	received := ""
	entry := address(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		received = fmt.Sprint(r.URL, r.Header, string(body))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	stdin := os.Stdin
	defer func() { os.Stdin = stdin }()
	for _, file := range []string{writeKey(t, customerKey), "-"} {
		if file == "-" {
			input, err := os.Open(writeKey(t, customerKey))
			is.NoErr(err)
			defer func() { _ = input.Close() }()
			os.Stdin = input
		}
		code, out, errs := run("explain", "--entry", entry, "--host", "h", "--path", "/x", "--key-file", file)
		is.Equal(code, gooseberryctl.ExitFaults)
		mu.Lock()
		is.True(strings.Contains(received, access.NewDigest(customerKey).String()))
		is.True(!strings.Contains(received+out+errs, customerKey))
		mu.Unlock()
	}
	// A key in place of the name of its file is not repeated in the error.
	code, out, errs := run("explain", "--entry", entry, "--host", "h", "--path", "/x", "--key-file", customerKey)
	is.Equal(code, gooseberryctl.ExitFaults)
	is.True(strings.Contains(errs, "key_file"))
	is.True(!strings.Contains(out+errs, customerKey))
}

// Guards against an error that does not name the field, from the command and from the entry alike.
func TestExplainNamesTheMalformedField(t *testing.T) {
	entry := startEntry(t, entryConfiguration)
	tests := map[string]struct {
		field string
		args  []string
	}{
		"no host":           {"host", []string{"--path", "/x"}},
		"path":              {"path", []string{"--host", "h", "--path", "x"}},
		"method":            {"method", []string{"--host", "h", "--path", "/x", "--method", "a b"}},
		"tokens":            {"tokens", []string{"--host", "h", "--path", "/x", "--tokens", "12"}},
		"negative tokens":   {"tokens", []string{"--host", "h", "--path", "/x", "--tokens=-1,5"}},
		"model":             {"model", []string{"--host", "h", "--path", "/x", "--model", "m\nn"}},
		"length hint":       {"length_hint", []string{"--host", "h", "--path", "/x", "--tokens", "1,2", "--length-hint=-4"}},
		"prompt part":       {"prompt_parts", []string{"--host", "h", "--path", "/x", "--tokens", "1,2", "--prompt-parts", "a"}},
		"nameless part":     {"prompt_parts", []string{"--host", "h", "--path", "/x", "--tokens", "1,2", "--prompt-parts", ":4"}},
		"wait":              {"wait_ms", []string{"--host", "h", "--path", "/x", "--wait=-1s"}},
		"caller":            {"caller", []string{"--host", "h", "--path", "/x", "--caller", "here"}},
		"empty key":         {"key_file", []string{"--host", "h", "--path", "/x", "--key-file", writeKey(t, "")}},
		"missing body file": {"body_file", []string{"--host", "h", "--path", "/x", "--body-file", "/nonexistent/file"}},
		"two inputs":        {"key_file", []string{"--host", "h", "--path", "/x", "--body-file", "-", "--key-file", "-"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run(append([]string{"explain", "--entry", entry}, tt.args...)...)
			is.Equal(code, gooseberryctl.ExitFaults)
			is.Equal(out, "")
			if !strings.Contains(errs, "gooseberryctl: "+tt.field+": ") {
				t.Errorf("the error does not name %s: %s", tt.field, errs)
			}
		})
	}
	for query, field := range map[string]string{
		`{"host":7}`:                         "host",
		`{"host":"h","path":"x"}`:            "path",
		`{"host":"h","path":"/","colour":1}`: "query",
		`{`:                                  "query",
		`{"host":"h","path":"/","method":"GET","key_digest":"12"}`: "key_digest",
	} {
		is := is.New(t)
		a, err := http.Post("http://"+entry+explain.Path, "application/json", strings.NewReader(query))
		is.NoErr(err)
		var fault explain.FieldError
		is.NoErr(json.NewDecoder(a.Body).Decode(&fault))
		_ = a.Body.Close()
		is.Equal(a.StatusCode, http.StatusBadRequest)
		is.Equal(fault.Field, field)
	}
}

// Guards against an explanation that looks like one of a configuration, and against success without an answer.
func TestExplainWithoutConfigurationOrAnswer(t *testing.T) {
	is := is.New(t)
	code, out, errs := run("explain", "--entry", startEntry(t, ""), "--host", "a.example", "--path", "/page/x")
	is.Equal(code, gooseberryctl.ExitFaults)
	is.True(strings.Contains(out, "refused: no_configuration, status 503, Retry-After 500 ms"))
	is.True(strings.Contains(errs, "entry entry-1 has no configuration"))
	silent := httptest.NewServer(nil)
	silent.Close()
	code, out, errs = run("explain", "--entry", strings.TrimPrefix(silent.URL, "http://"), "--host", "h", "--path", "/x")
	is.Equal(code, gooseberryctl.ExitFaults)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "connection refused"))
}

// Guards against a change of the flags that explain had before --entry.
func TestExplainFlagsAreExclusive(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
		err  string
	}{
		"nothing":               {nil, gooseberryctl.ExitUsage, "missing flags: --model=STRING or --service=STRING"},
		"model and service":     {[]string{"--model", "a", "--service", "b"}, gooseberryctl.ExitUsage, "--model and --service can't be used together"},
		"model and request":     {[]string{"--model", "a", "--request", "b"}, gooseberryctl.ExitUsage, "--model and --request can't be used together"},
		"service and upstream":  {[]string{"--service", "a", "--upstream", "b"}, gooseberryctl.ExitUsage, "--service and --upstream can't be used together"},
		"entry and request":     {[]string{"--entry", "a", "--request", "b"}, gooseberryctl.ExitUsage, "--request and --entry can't be used together"},
		"entry and platform":    {[]string{"--entry", "a", "--platform", "b"}, gooseberryctl.ExitUsage, "--platform and --entry can't be used together"},
		"host without an entry": {[]string{"--model", "a", "--host", "b"}, gooseberryctl.ExitUsage, "require --entry"},
		"model alone":           {[]string{"--model", "a"}, gooseberryctl.ExitFaults, "no configuration: set --file or --platform"},
		"request alone":         {[]string{"--request", "a"}, gooseberryctl.ExitFaults, "--request requires the log files"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := run(append([]string{"explain"}, tt.args...)...)
			is.Equal(code, tt.code)
			if !strings.Contains(errs, tt.err) {
				t.Errorf("the error lacks %q: %s", tt.err, errs)
			}
		})
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// entry is one process of the project, started with the command of the deploy file.
	entry struct {
		rig                                             *rig
		name, caller, ready, control, metrics, settings string
		bootstrap                                       bool
		cmd                                             *exec.Cmd
		done                                            chan struct{}
	}

	// rig is what a case runs in.
	rig struct {
		dir     string
		store   *store
		entries []*entry
		// extra are further settings of the entries.
		extra   map[string]any
		trouble bool
		began   time.Time

		mu      sync.Mutex
		record  *os.File
		started []*exec.Cmd
		// starts are the processes to start. One thread starts all of them, as they end with the thread that started them.
		starts chan start
	}

	// start is a process to start.
	start struct {
		cmd  *exec.Cmd
		done chan error
	}
)

func newRig(caseDir string) *rig {
	tmp, err := os.MkdirTemp("", "review-3-")
	check(err)
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	r := &rig{dir: tmp, store: startStore(), record: f, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", extra: strictKeys(), starts: make(chan start)}
	go func() {
		runtime.LockOSThread()
		for s := range r.starts {
			s.done <- s.cmd.Start()
		}
	}()
	r.note("case", "trouble", r.trouble)
	return r
}

// note writes a line of the record.
func (r *rig) note(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.record, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.record)
}

// finish ends all processes and exits.
func (r *rig) finish(code int, why string) {
	r.note("verdict", "exit", code, "why", fmt.Sprintf("%q", why))
	r.mu.Lock()
	for _, c := range r.started {
		// An error means that it has ended.
		_ = c.Process.Kill()
	}
	r.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(r.dir)
	fmt.Println(code, why)
	os.Exit(code)
}

var ports atomic.Int64

// freePort returns a loopback address for a process that starts later. Its host is that of this process alone, and its port is below
// those that the kernel gives to connections.
func freePort() string {
	host := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)
	for {
		address := fmt.Sprintf("%s:%d", host, 10_000+ports.Add(1))
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// addEntries adds a number of entries, which know each other as seeds.
func (r *rig) addEntries(count int) {
	for i := range count {
		r.entries = append(r.entries, &entry{
			rig: r, name: fmt.Sprintf("edge-sul-%c-1", 'a'+i), caller: freePort(), ready: freePort(), control: freePort(), metrics: freePort(), bootstrap: true,
		})
	}
}

// start starts the process. The settings are those that deploy/settings.json gives for the smallest machine of tormays-intake-grown.
func (e *entry) start() {
	r := e.rig
	var seeds []string
	for _, o := range r.entries {
		seeds = append(seeds, o.control)
	}
	s := map[string]any{
		"name": e.name, "region": "sul", "data_centre": e.name[:len(e.name)-2], "caller_address": e.caller, "ready_address": e.ready,
		"control_address": e.control, "metrics_address": e.metrics, "store_address": r.store.address, "peer_addresses": seeds,
		"bootstrap": e.bootstrap, "prefill_share": 0.16, "placement": map[string]any{"uneven_factor": 1.5}, "memory_mb": 112,
		"config_deadline_ms": 2000, "drain_ms": 2000, "grace_s": 8, "retry": map[string]any{"ratio": 0.2, "window_s": 10, "slack": 84},
	}
	for k, v := range r.extra {
		s[k] = v
	}
	b, err := json.Marshal(s)
	check(err)
	e.settings = filepath.Join(r.dir, e.name+".json")
	check(os.WriteFile(e.settings, b, 0o600))
	out, err := os.OpenFile(filepath.Join(r.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	e.cmd = exec.Command("target/gooseberry-platform")
	e.cmd.Env = append(os.Environ(), "GOOSEBERRYPIN_NODE_FILE="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	r.run(e.cmd)
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(e.cmd, e.done)
	e.bootstrap = false
	r.note("entry started", "entry", e.name)
}

// run starts a process, which ends with this one at the latest.
func (r *rig) run(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s := start{c, make(chan error, 1)}
	r.starts <- s
	check(<-s.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = append(r.started, c)
}

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	<-e.done
	e.rig.note("entry killed", "entry", e.name)
}

// awaitReady waits until the readiness check is answered with 200.
func (e *entry) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if e.isReady() {
			e.rig.note("entry ready", "entry", e.name)
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// startAll starts the entries and waits until they are ready. The case can't run if they are not.
func (r *rig) startAll() {
	for _, e := range r.entries {
		e.start()
	}
	for _, e := range r.entries {
		if !e.awaitReady(15 * time.Second) {
			r.finish(2, "an entry did not get ready")
		}
	}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
}

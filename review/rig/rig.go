// Command rig plays the review's cases against the project's program. It starts entries as separate processes, with a
// store, servers and clients of its own, all on loopback addresses.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contactTime = 3000 * time.Millisecond
)

type (
	// rig is a small deployment: a store, servers, and entries.
	rig struct {
		root, dir string
		trouble   bool
		began     time.Time
		store     *store
		storeAddr string
		entries   []*entry
		lastPort  int

		mu     sync.Mutex
		record *os.File
	}

	// entry is a machine that runs the project's program.
	entry struct {
		name, ip              string
		front, ready, control string
		settings, log         string
		process               *exec.Cmd
		exited                chan struct{}
	}

	// unplayable is a failure of the rig, not of the program.
	unplayable struct{ error }
)

func fail(format string, args ...any) {
	panic(unplayable{fmt.Errorf(format, args...)})
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// address returns an IP address of loopback that hardly any other process uses.
func (r *rig) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, host)
}

func (r *rig) listen(ip string) net.Listener {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fail("listen: %w", err)
	}
	return l
}

// free returns a free address. Its port is below those that the system gives out by itself.
func (r *rig) free(ip string) string {
	for ; r.lastPort < 9000; r.lastPort++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, r.lastPort))
		if err == nil {
			_ = l.Close()
			r.lastPort++
			return l.Addr().String()
		}
	}
	fail("no free port")
	return ""
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)
	section     = regexp.MustCompile(`(?s)\{\{#[a-zA-Z.]+\}\}.*?\{\{/[a-zA-Z.]+\}\}\n`)
)

// fill fills in the template of the settings.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		var v any = fields
		for name := range strings.SplitSeq(m[1], ".") {
			v = v.(map[string]any)[name]
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		text, _ := json.Marshal(v)
		return string(text)
	})
}

// startFleet starts the store and a number of entries, and waits until all are ready. Call it after startServer.
func (r *rig) startFleet(count int) {
	template, err := os.ReadFile(filepath.Join(r.root, "deploy", "settings.json"))
	if err != nil {
		fail("template: %w", err)
	}
	var seeds []string
	for n := range count {
		e := &entry{name: fmt.Sprintf("edge-%c-1", 'a'+n), ip: r.address(10 + n)}
		e.front, e.ready, e.control = r.free(e.ip), r.free(e.ip), r.free(e.ip)
		e.settings, e.log = filepath.Join(r.dir, e.name+".json"), filepath.Join(r.dir, e.name+".log")
		if len(seeds) < 3 {
			seeds = append(seeds, e.control)
		}
		r.entries = append(r.entries, e)
	}
	for n, e := range r.entries {
		fields := map[string]any{
			"nodeName": e.name, "ip": e.ip, "zone": fmt.Sprintf("z-%c", 'a'+n), "region": "z", "seeds": seeds, "bootstrap": true,
			"bind":     map[string]any{"front": e.front, "ready": e.ready, "control": e.control},
			"platform": map[string]any{"address": r.storeAddr},
			"limits":   map[string]any{"memoryMb": 134},
			"bounds": map[string]any{"configDeadlineMs": 2000, "drainMs": 2000, "graceS": 8, "budgetRatio": 0.2, "budgetWindowS": 10,
				"budgetSlack": 52},
		}
		// The bounds on keys and quotas, which stand in sections of the template, are not among the fields.
		plain := section.ReplaceAllString(string(template), "")
		if err := os.WriteFile(e.settings, []byte(fill(plain, fields)), 0o600); err != nil {
			fail("settings: %w", err)
		}
		r.startEntry(e)
	}
	for _, e := range r.entries {
		r.waitReady(e)
	}
}

func (r *rig) startEntry(e *entry) {
	out, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %w", err)
	}
	defer func() { _ = out.Close() }()
	e.process = exec.Command("target/gooseberry-platform")
	e.process.Path, e.process.Err = filepath.Join(r.root, "target", "gooseberry-platform"), nil
	e.process.Dir = r.root
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GOOSEBERRYPIN_NODE_FILE=" + e.settings}
	e.process.Stdout, e.process.Stderr = out, out
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.process.Start(); err != nil {
		fail("start: %w", err)
	}
	e.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(e.process, e.exited)
	r.note("%s starts", e.name)
}

func (r *rig) waitReady(e *entry) {
	for range 1000 {
		if a, err := http.Get("http://" + e.ready + "/ready"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				r.note("%s is ready", e.name)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	log, _ := os.ReadFile(e.log)
	fail("%s is not ready: %s", e.name, log[:min(len(log), 500)])
}

// alive reports whether the process of an entry runs.
func (e *entry) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (r *rig) close() {
	for _, e := range r.entries {
		if e.process != nil && e.process.Process != nil {
			_ = e.process.Process.Kill()
			<-e.exited
		}
	}
	_ = os.RemoveAll(r.dir)
}

// run plays a case and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(name, root, recordPath string) (status int) {
	cases := map[string]func(*rig) bool{"outage": playOutage, "memory": playMemory, "manyparts": playManyParts, "pause": playPause}
	play, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, lastPort: 8100}
	defer r.close()
	defer func() {
		var u unplayable
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.As(err, &u) {
				panic(p)
			}
			r.note("not played: %v", u.error)
			fmt.Fprintln(os.Stderr, "not played:", u.error)
			status = 2
		}
	}()
	r.store = newStore(r.note)
	l := r.listen(r.address(1))
	r.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	r.note("case %s, disruption: %v", name, r.trouble)
	broken := play(r)
	for _, e := range r.entries {
		if !e.alive() {
			r.note("%s has ended by itself", e.name)
		}
	}
	if broken {
		r.note("BROKEN")
		return 1
	}
	r.note("held")
	return 0
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

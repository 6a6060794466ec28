package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// entry is a process of the project's program, started as the deploy file says.
type entry struct {
	name, front, ready, control string
	cmd                         *exec.Cmd
	settings                    string
	log                         *os.File
	exited                      chan struct{}
	mu                          sync.Mutex
	err                         error
}

// sheet is what the pages say of a deployment and its edge machines.
type sheet struct {
	limits, bounds object
}

// sul is the sheet of sites/varal-sul.toml, and sulGrown that of grown/varal-sul-grown.toml with its smallest edge machines.
func sul() sheet {
	return sheet{
		limits: object{"cpuShare": 0.304, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		bounds: object{
			"seedLagS": 3, "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configDeadlineMs": 2000,
			"budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "requireFencing": false, "leaseMs": 3000,
		},
	}
}

func sulGrown() sheet {
	return sheet{
		limits: object{"cpuShare": 0.144, "cores": 1, "memoryMb": 112, "maxFds": 4100, "linkMbps": 10.0, "diskMb": 0},
		bounds: object{
			"seedLagS": 3, "contactMs": 4000, "drainMs": 3000, "graceS": 8, "configDeadlineMs": 3000,
			"budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 86, "requireFencing": false, "leaseMs": 3000,
		},
	}
}

// talaGrown is the sheet of demands/tala-stmt-grown.toml with an edge machine of 120 MB.
func talaGrown() sheet {
	return sheet{
		limits: object{"cpuShare": 0.109, "cores": 1, "memoryMb": 120, "maxFds": 3075, "linkMbps": 10.0, "diskMb": 0},
		bounds: object{
			"seedLagS": 3, "contactMs": 4000, "drainMs": 3000, "graceS": 8, "configDeadlineMs": 3000,
			"budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100, "requireFencing": false, "leaseMs": 3000,
		},
	}
}

// fields are the settings of a process, as the pages show them.
func fields(s sheet, name, ip string, ports [3]int, storeAddress string, seeds []string) object {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return object{
		"nodeName": name, "region": "sul", "zone": "sul-a", "ip": ip, "bootstrap": true, "seeds": seeds,
		"bind":     object{"front": at(ports[0]), "ready": at(ports[1]), "control": at(ports[2])},
		"platform": object{"address": storeAddress},
		"limits":   s.limits, "bounds": s.bounds,
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file.
func render(template string, f object) string {
	value := func(path string) any {
		var v any = f
		for _, name := range strings.Split(path, ".") {
			m, ok := v.(map[string]any)
			if !ok {
				return nil
			}
			v = m[name]
		}
		return v
	}
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if value(m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := value(m[1])
		if v == nil {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, err := json.Marshal(v)
		check(err)
		return string(b)
	})
}

// freeIPs returns loopback addresses that follow each other and at which the port of the metrics is free.
func freeIPs(n int) []string {
next:
	for {
		prefix, first := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)), 10+rand.IntN(80)
		var ips []string
		for i := range n {
			ip := fmt.Sprintf("%s%d", prefix, first+i)
			l, err := net.Listen("tcp4", ip+":9100")
			if err != nil {
				continue next
			}
			l.Close()
			ips = append(ips, ip)
		}
		return ips
	}
}

// freePorts returns ports that are free at all the addresses.
func freePorts(ips []string) [3]int {
	var ports [3]int
	var held []net.Listener
	for i := range ports {
	next:
		for {
			l := listen(ips[0] + ":0")
			held = append(held, l)
			ports[i] = l.Addr().(*net.TCPAddr).Port
			for _, ip := range ips[1:] {
				o, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, ports[i]))
				if err != nil {
					continue next
				}
				held = append(held, o)
			}
			break
		}
	}
	for _, l := range held {
		l.Close()
	}
	return ports
}

// startEntry starts a process with the run line and the template of the deploy file.
func startEntry(f object) *entry {
	b := f["bind"].(map[string]any)
	e := &entry{name: f["nodeName"].(string), front: b["front"].(string), ready: b["ready"].(string), control: b["control"].(string)}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json"))
	check(err)
	e.settings = filepath.Join(temp, e.name+".json")
	check(os.WriteFile(e.settings, []byte(render(string(template), f)), 0o644))
	e.log, err = os.OpenFile(filepath.Join(temp, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	e.start()
	return e
}

func (e *entry) start() {
	e.cmd = exec.Command(filepath.Join(root, "target", "gooseberry-platform"))
	e.cmd.Dir = root
	e.cmd.Env = append(os.Environ(), "GOOSEBERRYPIN_NODE_FILE="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(e.cmd.Start())
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		e.err = err
		e.mu.Unlock()
		close(exited)
	}()
	atEnd(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		<-exited
	})
}

func (e *entry) signal(s syscall.Signal) { e.cmd.Process.Signal(s) }

// isReady asks the readiness address as the platform does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return
		}
	}
	panic("setup: " + e.name + " is not ready")
}

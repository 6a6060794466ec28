package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	// cpuShare and linkMbps are those of an edge machine in the sheet of sites/varal-sul.toml.
	cpuShare = 0.304
	linkMbps = 1000
	// attackers is the number of clients that nobody controls; each opens one connection and sends one request.
	attackers = 100
	// bodyBytes is the largest legal body, maxBodyBytes of the configuration.
	bodyBytes = 4194304
)

// quota gives the process its share of a core as a quota: it runs for a part of each tenth of a second, and then not at all for
// the rest of it.
func quota(e *entry, share float64, stop <-chan struct{}) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		e.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(share * float64(100*time.Millisecond)))
		select {
		case <-stop:
			e.signal(syscall.SIGCONT)
			return
		default:
		}
		e.signal(syscall.SIGSTOP)
		<-t.C
	}
}

// crowd: clients that nobody controls send chunked bodies of legal size in very small chunks, all at once, and stop just short of
// their end.
func crowd() bool {
	s := startStore()
	for i := range 3 {
		startServer(s, fmt.Sprintf("i-p%07d", i), "balcao", "", "sul-a")
	}
	s.put("op/config", config(7, []object{
		route("r-1", "/puxa403/", "non_idempotent", "balcao", 1500, 300, 1),
		route("r-2", "/cufi504/", "idempotent", "balcao", 14000, 300, 2),
	}, []object{plainService("balcao")}))
	ip := freeIPs(1)[0]
	e := startEntry(fields(sul(), "edge-sul-a-1", ip, freePorts([]string{ip}), s.addr, []string{}))
	e.awaitReady(15 * time.Second)
	stopQuota := make(chan struct{})
	var quotaDone sync.WaitGroup
	quotaDone.Go(func() { quota(e, cpuShare, stopQuota) })
	atEnd(func() {
		close(stopQuota)
		quotaDone.Wait()
	})
	ok, answered, sent := ordinary(e, 5*time.Second)
	note("before: of %d ordinary requests %d answered, %d with success", sent, answered, ok)
	if answered < sent {
		panic("setup: ordinary requests aren't answered")
	}
	shared := &link{perSecond: linkMbps * 1_000_000 / 8}
	var bytes, refused atomic.Int64
	if trouble {
		note("%d clients connect and send one body each", attackers)
		for range attackers {
			go attack(e, shared, &bytes, &refused)
		}
	}
	ok, answered, sent = ordinary(e, 5*time.Second)
	note("meanwhile: of %d ordinary requests %d answered, %d with success; %d MB of the bodies sent, %d of them refused", sent, answered, ok, bytes.Load()>>20, refused.Load())
	broken := answered < sent/2
	for range 3 {
		ok, answered, sent = ordinary(e, 5*time.Second)
		note("later: of %d ordinary requests %d answered, %d with success; %d MB of the bodies sent, %d of them refused", sent, answered, ok, bytes.Load()>>20, refused.Load())
	}
	select {
	case <-e.exited:
		note("the process ended by itself")
		broken = true
	default:
	}
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.HasPrefix(line, "VmHWM") {
			note("memory of the process at its peak: %s", line)
		}
	}
	return broken
}

// attack sends a body of legal size in chunks of one byte. It stops just short of its end and leaves the connection open.
func attack(e *entry, shared *link, bytes, refused *atomic.Int64) {
	c, err := net.DialTimeout("tcp", e.front, 5*time.Second)
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(c, "POST /cufi504/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 14000\r\nTransfer-Encoding: chunked\r\n\r\n", host, newID())
	if err != nil {
		return
	}
	go func() {
		b := make([]byte, 512)
		if n, _ := c.Read(b); n > 0 {
			refused.Add(1)
		}
	}()
	const chunks = 500
	part := []byte(strings.Repeat("1\r\nx\r\n", chunks))
	for n := chunks; n < bodyBytes; n += chunks {
		shared.await(len(part))
		if _, err := c.Write(part); err != nil {
			return
		}
		bytes.Add(int64(len(part)))
	}
}

// ordinary sends ten ordinary requests a second for a time. It returns how many were sent, answered with any status by their
// deadline and half a second more, and answered with success.
func ordinary(e *entry, d time.Duration) (ok, answered, sent int) {
	const deadline = 1500 * time.Millisecond
	var mu sync.Mutex
	var all sync.WaitGroup
	for stop := time.Now().Add(d); time.Now().Before(stop); time.Sleep(100 * time.Millisecond) {
		all.Go(func() {
			body := newID() + strings.Repeat("x", 584)
			a := send(e.front, request{method: "POST", host: host, path: "/puxa403/2f", body: body, deadline: deadline})
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status != 0 && a.whole && a.done.Sub(a.sent) <= deadline+500*time.Millisecond {
				answered++
			}
			if a.status == 200 && a.whole {
				ok++
			}
			note("%v", a)
		})
	}
	all.Wait()
	return ok, answered, sent
}

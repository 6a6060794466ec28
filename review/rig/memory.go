package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const memoryMB = 134

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and starts it again.
func (r *rig) enforceMemory(e *entry, ends *[]time.Time, mu *sync.Mutex, stop <-chan struct{}) {
	peak := int64(0)
	for {
		select {
		case <-stop:
			r.note("%s: peak memory seen %d MB", e.name, peak>>20)
			return
		case <-time.After(2 * time.Millisecond):
		}
		if !e.alive() {
			continue
		}
		size := resident(e.process.Process.Pid)
		peak = max(peak, size)
		if size > memoryMB*1_000_000 {
			r.note("%s is killed: it has %d MB, %d are allowed", e.name, size/1_000_000, memoryMB)
			mu.Lock()
			*ends = append(*ends, time.Now())
			mu.Unlock()
			_ = e.process.Process.Signal(syscall.SIGKILL)
			<-e.exited
			time.Sleep(300 * time.Millisecond)
			r.startEntry(e)
		}
	}
}

type pacedBody struct{ left int }

// Read returns a part of the body every few milliseconds, as a link that many clients share.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(2 * time.Millisecond)
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// playMemory: the clients of all zones send bodies that the configuration allows, 18 in each zone, and in a burst 2.2 times as many.
func playMemory(r *rig) bool {
	servers := r.desk(60 * time.Millisecond)
	r.startFleet(3)
	l := newLedger()
	stop := make(chan struct{})
	var mu sync.Mutex
	ends := map[*entry]*[]time.Time{}
	var guards sync.WaitGroup
	for _, e := range r.entries {
		ends[e] = &[]time.Time{}
		guards.Go(func() { r.enforceMemory(e, ends[e], &mu, stop) })
	}
	const size = 3_000_000
	clients := 18
	if r.trouble {
		clients = 40
	}
	var wg sync.WaitGroup
	for round := range 5 {
		r.note("round %d: %d clients of each zone send a booking of %d bytes each", round, clients, size)
		for _, e := range r.entries {
			for range clients {
				c := newClient()
				wg.Go(func() {
					l.sendBody(c, e, http.MethodPost, fmt.Sprintf("/book/%d", rand.Uint32()), &pacedBody{size}, size, 1500*time.Millisecond)
				})
			}
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
	}
	close(stop)
	guards.Wait()
	l.note(r, servers)
	r.note("outcomes: %v", l.outcomes())
	machines := 0
	for e, at := range ends {
		r.note("%s ended by itself %d times", e.name, len(*at))
		if len(*at) >= 3 {
			machines++
		}
	}
	return machines >= 2
}

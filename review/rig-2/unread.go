package main

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unread"] = unread }

const (
	// slowReaders is the number of clients that read slowly; each opens one connection.
	slowReaders = 900
	// slowRequests is how many requests each of them sends, 42 KB in all.
	slowRequests = 1000
	// smallBuffer is the receive buffer of a client, as windows are small.
	smallBuffer = 4096
)

// unread: clients that nobody controls send requests on kept connections and read the answers slowly.
func unread() bool {
	s := startStore()
	for _, id := range []string{"i-p0000000", "i-p0000001", "i-p0000002"} {
		startServer(s, id, "ledger", "", "luzon-a")
	}
	s.put("op/config", config(7, []object{route("r-1", "/puxa403/", "non_idempotent", "ledger", 1500, 120, 1)}, []object{plainService("ledger")}))
	ip := freeIPs(1)[0]
	e := startEntry(fields(talaGrown(), "edge-luzon-a-1", ip, freePorts([]string{ip}), s.addr, []string{}))
	e.awaitReady(15 * time.Second)
	ok, answered, sent := ordinary(e, 3*time.Second)
	note("before: of %d ordinary requests %d answered, %d with success", sent, answered, ok)
	if ok < sent {
		panic("setup: ordinary requests aren't served")
	}
	var all sync.WaitGroup
	var connected, read atomic.Int64
	requests := []byte(strings.Repeat("GET /puxa403/2f HTTP/1.1\r\nHost: "+host+"\r\n\r\n", slowRequests))
	for range slowReaders {
		all.Go(func() {
			d := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer) })
			}}
			c, err := d.Dial("tcp", e.front)
			for tries := 1; err != nil && tries < 5; tries++ {
				c, err = d.Dial("tcp", e.front)
			}
			if err != nil {
				return
			}
			connected.Add(1)
			go c.Write(requests)
			go func() {
				// Without the disruption the client reads what arrives, else a byte a second.
				b := make([]byte, 64<<10)
				if trouble {
					b = b[:1]
				}
				for {
					n, err := c.Read(b)
					if err != nil {
						c.Close()
						return
					}
					read.Add(int64(n))
					if trouble {
						time.Sleep(time.Second)
					}
				}
			}()
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	note("%d clients have connected and sent their requests; they send nothing more", connected.Load())
	time.Sleep(15 * time.Second)
	for range 3 {
		ok, answered, sent = ordinary(e, 5*time.Second)
		note("later: of %d ordinary requests %d answered, %d with success; the clients have read %d bytes; ready: %v", sent, answered, ok, read.Load(), e.isReady())
	}
	return ok < sent/2
}

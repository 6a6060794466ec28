package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got. status is 0 if there was no whole head, and whole is whether the answer was complete.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	whole      bool
	body       string
	header     http.Header
	err        error
}

type request struct {
	method, host, path, body string
	deadline                 time.Duration
	header                   map[string]string
}

var attempts atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+attempts.Add(1)) }

// send sends a request over a connection of its own.
func send(front string, r request) answer {
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer t.CloseIdleConnections()
	return sendOver(&http.Client{Transport: t}, front, r)
}

func sendOver(c *http.Client, front string, r request) answer {
	a := answer{id: newID(), sent: time.Now()}
	q, err := http.NewRequest(r.method, "http://"+front+r.path, bytes.NewReader([]byte(r.body)))
	check(err)
	q.Host = r.host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for k, v := range r.header {
		q.Header.Set(k, v)
	}
	timer := time.AfterFunc(r.deadline+2*time.Second, func() { c.CloseIdleConnections() })
	defer timer.Stop()
	c.Timeout = r.deadline + 2*time.Second
	resp, err := c.Do(q)
	if err != nil {
		a.err, a.done = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	b, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole, a.done = string(b), err, err == nil, time.Now()
	return a
}

func (a answer) String() string {
	s := fmt.Sprintf("request %s sent %.3f answered %.3f: %d", a.id, a.sent.Sub(began).Seconds(), a.done.Sub(began).Seconds(), a.status)
	if a.err != nil {
		s += " (" + strings.ReplaceAll(a.err.Error(), "\n", " ") + ")"
	}
	return s
}

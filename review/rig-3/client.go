package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// request is one attempt of a client.
	request struct {
		method, path string
		fields       []string
		body         string
		id           string
		wait         time.Duration
	}

	// answer is what a client got.
	answer struct {
		status   int
		header   http.Header
		body     string
		complete bool
		err      error
		took     time.Duration
	}
)

var attempts atomic.Int64

const (
	hostName = "ficu95.example"
	// keptKey is the key of the tenant, which requests have unless they name another one.
	keptKey = "key-that-stays"
)

func newID() string {
	return fmt.Sprintf("%016x", time.Now().UnixNano()&0xffffffffff00|attempts.Add(1)<<40)
}

func (q request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", q.method, q.path, hostName, q.id)
	for _, f := range q.fields {
		b.WriteString(f + "\r\n")
	}
	if !strings.Contains(strings.Join(q.fields, "\n"), "X-Api-Key:") {
		b.WriteString("X-Api-Key: " + keptKey + "\r\n")
	}
	if q.body != "" || q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// send sends the request over a connection and reads the answer.
func (q request) send(c net.Conn, br *bufio.Reader) answer {
	began := time.Now()
	limit := q.wait
	if limit == 0 {
		limit = 60 * time.Second
	}
	_ = c.SetDeadline(began.Add(limit))
	if _, err := io.WriteString(c, q.bytes()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, err: err, took: time.Since(began)}
}

// sendNew sends the request over a new connection.
func (q request) sendNew(address string) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return q.send(c, bufio.NewReader(c))
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("none (%v)", errors.Unwrap(a.err))
	}
	return fmt.Sprintf("%d complete=%v bytes=%d", a.status, a.complete, len(a.body))
}

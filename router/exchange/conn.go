package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	readBuffer = 4 << 10
	// keepAliveMargin is left between our last use of an idle connection and the upstream's
	// own timeout, as our request is on its way meanwhile.
	keepAliveMargin = time.Second
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 5
	// maxHeadBytes bounds what is read until the head of an answer is whole, answers to earlier requests
	// included. Callers of an entry may send heads of that size.
	maxHeadBytes = 256 << 10
	// unbounded lets a body be read, which its reader bounds.
	unbounded = -1
)

var (
	errInterim = eris.New("too many interim answers")
	errEndless = eris.New("the head of the answer has no end")
)

type (
	// conn is one connection to an upstream, used by one request at a time.
	conn struct {
		net.Conn
		address string
		reader  *bufio.Reader
		// expires is when an idle connection is no longer used; zero: unknown.
		expires time.Time
		written atomic.Int64
		// allowed is the number of bytes that may still be read.
		allowed int
	}
)

// Read reads what is allowed.
func (k *conn) Read(p []byte) (int, error) {
	if k.allowed == unbounded {
		return k.Conn.Read(p)
	}
	if k.allowed == 0 {
		return 0, errEndless
	}
	n, err := k.Conn.Read(p[:min(len(p), k.allowed)])
	k.allowed -= n
	return n, err
}

// Write counts what was handed to the connection.
func (k *conn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	k.written.Add(int64(n))
	return n, err
}

// sent is the number of bytes of the current request that were written.
func (k *conn) sent() int64 {
	return k.written.Load()
}

// send writes the request beside the reading, as an upstream may answer before it has read all.
func (k *conn) send(r *http.Request) <-chan error {
	k.written.Store(0)
	done := make(chan error, 1)
	if r.ContentLength <= readBuffer/2 {
		done <- r.Write(k)
		return done
	}
	go func() { done <- r.Write(k) }()
	return done
}

// receive reads the head of the answer that belongs to the request.
func (k *conn) receive(r Request) (*http.Response, error) {
	if r.ResponseHeaderTimeout > 0 {
		if err := k.SetReadDeadline(time.Now().Add(r.ResponseHeaderTimeout)); err != nil {
			return nil, eris.Wrap(err, "read deadline")
		}
	}
	k.allowed = maxHeadBytes
	for range maxStrays + 1 {
		response, err := k.final(r.HTTP)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, ErrSilent
		}
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(response) {
			k.allowed = unbounded
			return response, k.SetReadDeadline(time.Time{})
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, eris.Wrap(err, "answer to another request")
		}
	}
	return nil, errStrays
}

// final skips interim answers.
func (k *conn) final(r *http.Request) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(k.reader, r)
		if err != nil {
			return nil, eris.Wrap(err, "answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errInterim
}

// reusable reports whether the connection may serve another request after the answer.
func (k *conn) reusable(response *http.Response) bool {
	if response.Close || k.reader.Buffered() > 0 || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	k.expires = time.Time{}
	if life, found := keepAlive(response.Header.Get("Keep-Alive")); found {
		k.expires = time.Now().Add(life - keepAliveMargin)
	}
	return true
}

// keepAlive reads the timeout parameter of a Keep-Alive field, in seconds.
func keepAlive(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes that arrive
// while nobody asked belong to no request.
func (k *conn) quiet() bool {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// abort closes the connection. The peer learns it at once, as unread bytes make it a reset.
func (k *conn) abort() {
	// An error here tells that the connection is closed already.
	_ = k.Close()
}

// dialer returns a function that opens connections which notice a silent peer.
func dialer(timeout, unacknowledged time.Duration) func(context.Context, string) (*conn, error) {
	d := &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) { failed = silence(int(fd), unacknowledged) })
			return errors.Join(err, failed)
		},
	}
	return func(ctx context.Context, address string) (*conn, error) {
		c, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, eris.Wrap(err, "dial")
		}
		k := &conn{Conn: c, address: address, allowed: maxHeadBytes}
		k.reader = bufio.NewReaderSize(k, readBuffer)
		return k, nil
	}
}

// silence makes the kernel end a connection whose peer stops acknowledging.
func silence(fd int, limit time.Duration) error {
	seconds := max(1, int(limit/(2*time.Second)))
	return errors.Join(
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds())),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
	)
}

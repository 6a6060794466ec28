package exchange

import (
	"bufio"
	"cmp"
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

	"gooseberrypin.example/router/response"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveMargin is the time between the last use of an idle connection here and its timeout at the
	// upstream, as a request takes time to arrive.
	keepAliveMargin = time.Second
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 5
	// maxHeadBytes bounds what is read until the response head is complete. Requests of callers may have heads of the same
	// size.
	maxHeadBytes = 256 << 10
	// freeHeadBytes is the part of a head that takes no memory by Request.Grow. Usual heads have some hundred bytes.
	freeHeadBytes = 8 << 10
	// headStepBytes is the part of a longer head that is read once the memory for it is taken: headMemoryFactor times as much, for
	// the line, the header fields and their map.
	headStepBytes    = 8 << 10
	headMemoryFactor = 3
	// maxSkippedBytes bounds the bodies of responses to earlier requests.
	maxSkippedBytes = 256 << 10
	// unbounded is the readBudget of a response body, whose reader bounds it.
	unbounded = -1
)

var (
	errTooManyInterim = eris.New("too many interim answers")
	errHeadTooLarge   = eris.New("the head of the answer has no end")
	errHeadMemory     = eris.New("no memory is left for the head of the answer")
	errSkippedTooLong = eris.New("the answer to another request has no end")
)

type (
	// conn is one connection to an upstream. It serves one request at a time.
	conn struct {
		*response.Conn
		address string
		reader  *bufio.Reader
		// expires is when an idle connection is no longer used; zero if unknown.
		expires      time.Time
		writtenBytes atomic.Int64
		// answered is whether the connection has received a response.
		answered bool
		// receiveBytes is the receive buffer of a connection whose buffers are set; 0 leaves it to the kernel.
		receiveBytes int
		// widened is whether the receive buffer is enlarged.
		widened bool
		// readBudget is the number of bytes that may still be read. budgetSpent is called when it is used up, and extends it or
		// returns an error, which is kept in budgetErr: a reader may report the line that it cuts short in its place.
		readBudget  int
		budgetSpent func() error
		budgetErr   error
	}
)

// Read implements io.Reader within readBudget.
func (k *conn) Read(p []byte) (int, error) {
	if k.readBudget == unbounded {
		return k.Conn.Read(p)
	}
	if k.readBudget == 0 {
		if k.budgetErr = k.budgetSpent(); k.budgetErr != nil {
			return 0, k.budgetErr
		}
	}
	n, err := k.Conn.Read(p[:min(len(p), k.readBudget)])
	k.readBudget -= n
	return n, err
}

// Write implements io.Writer and counts the bytes of the current request.
func (k *conn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	k.writtenBytes.Add(int64(n))
	return n, err
}

// bytesWritten returns the number of bytes of the current request that were written.
func (k *conn) bytesWritten() int64 {
	return k.writtenBytes.Load()
}

// send writes the request and sends the outcome on the returned channel. Long requests are written in the
// background, as an upstream may respond before it has read the complete request.
func (k *conn) send(r *http.Request) <-chan error {
	k.writtenBytes.Store(0)
	done := make(chan error, 1)
	if r.ContentLength <= readBufferBytes/2 {
		done <- writeRequest(k, r)
		return done
	}
	go func() { done <- writeRequest(k, r) }()
	return done
}

// receive reads the response head that belongs to the request. It skips responses to earlier requests, up to
// maxUnmatchedResponses.
func (k *conn) receive(r Request) (*http.Response, error) {
	if r.ResponseHeaderTimeout > 0 {
		if err := k.SetReadDeadline(time.Now().Add(r.ResponseHeaderTimeout)); err != nil {
			return nil, eris.Wrap(err, "read deadline")
		}
	}
	for range maxUnmatchedResponses + 1 {
		k.expectHead(r.Grow)
		response, err := k.readFinalHead(r.HTTP)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, ErrNoResponse
		}
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(response) {
			k.readBudget = unbounded
			return response, k.SetReadDeadline(time.Time{})
		}
		k.readBudget, k.budgetSpent = maxSkippedBytes, func() error { return errSkippedTooLong }
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, eris.Wrap(err, "answer to another request")
		}
	}
	return nil, errTooManyUnmatched
}

// expectHead sets the budget for a response head, which takes memory by grow beyond freeHeadBytes. If grow is nil, the head is
// not longer than that.
func (k *conn) expectHead(grow func(int64) bool) {
	read := freeHeadBytes
	k.readBudget = read
	k.budgetSpent = func() error {
		if grow == nil || read >= maxHeadBytes {
			return errHeadTooLarge
		}
		if !grow(headStepBytes * headMemoryFactor) {
			return errHeadMemory
		}
		read += headStepBytes
		k.readBudget = headStepBytes
		return nil
	}
}

// readFinalHead reads the head of a final response and skips interim (1xx) responses.
func (k *conn) readFinalHead(r *http.Request) (*http.Response, error) {
	// Bytes that are buffered can be peeked at without an error.
	buffered, _ := k.reader.Peek(k.reader.Buffered())
	k.BeginHead(buffered)
	for range maxInterimResponses {
		a, err := http.ReadResponse(k.reader, r)
		if err == nil {
			err = k.CheckHead(a)
		}
		if err != nil {
			return nil, eris.Wrap(cmp.Or(k.budgetErr, err), "answer")
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errTooManyInterim
}

// reusable reports whether the connection may serve another request after the response.
func (k *conn) reusable(response *http.Response) bool {
	if response.Close || k.reader.Buffered() > 0 || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	k.expires = time.Time{}
	if timeout, found := keepAliveTimeout(response.Header.Get("Keep-Alive")); found {
		k.expires = time.Now().Add(timeout - keepAliveMargin)
	}
	return true
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field.
func keepAliveTimeout(field string) (time.Duration, bool) {
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

// isOpenAndIdle reports whether an idle connection is open and has nothing to read. Bytes that arrive without
// an outstanding request belong to none.
func (k *conn) isOpenAndIdle() bool {
	s, ok := k.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// abort resets the connection, as ResetOnClose was applied when it was opened. What the kernel still holds of a request is
// discarded, and the peer is notified at once.
func (k *conn) abort() {
	// The only possible error is that the connection is closed already.
	_ = k.Close()
}

// newDialer returns a function that opens connections. They are reset when they are closed, and fail if the peer does not
// acknowledge sent data within ackTimeout.
func newDialer(o options) func(context.Context, string) (*conn, error) {
	d := &net.Dialer{
		Timeout:   o.dialTimeout,
		KeepAlive: -1,
		Control: func(network, address string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = errors.Join(setAckTimeout(int(fd), o.ackTimeout), setSocketBuffers(int(fd), o))
			})
			return errors.Join(err, failed, ResetOnClose(network, address, c))
		},
	}
	return func(ctx context.Context, address string) (*conn, error) {
		c, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, eris.Wrap(err, "dial")
		}
		k := &conn{Conn: response.NewConn(c), address: address, receiveBytes: o.receiveBytes}
		k.reader = bufio.NewReaderSize(k, readBufferBytes)
		return k, nil
	}
}

// ResetOnClose is the Control function of a net.Dialer whose connections are reset when they are closed, also by the exit
// of the process. After an orderly close the kernel would go on to deliver what is unacknowledged: a request then runs
// after a partition, seconds after its caller has received an error. The option is set when the connection
// is opened, as a killed process closes its connections without running any code.
func ResetOnClose(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
	return errors.Join(err, failed)
}

// setAckTimeout makes the kernel close a connection whose peer stops acknowledging sent data, or keep-alive
// probes while nothing is sent.
func setAckTimeout(fd int, timeout time.Duration) error {
	seconds := max(1, int(timeout/(2*time.Second)))
	return errors.Join(
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
	)
}

// setSocketBuffers sets the sizes of the socket buffers before the connection is opened.
func setSocketBuffers(fd int, o options) error {
	if o.receiveBytes == 0 {
		return nil
	}
	return errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.receiveBytes),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, o.sendBytes),
	)
}

// setReceiveBuffer sets the receive buffer of an open connection whose buffers are set. An error leaves it as it is.
func (k *conn) setReceiveBuffer(bytes int) {
	if c, ok := k.NetConn().(*net.TCPConn); ok && k.receiveBytes > 0 {
		_ = c.SetReadBuffer(bytes)
		k.widened = bytes > k.receiveBytes
	}
}

package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/exchange"
)

type (
	// script serves one connection.
	script func(s *server, c net.Conn, in *bufio.Reader)

	// server counts the connections and requests that it receives. The n-th connection is served by the n-th
	// script, and further ones by the last.
	server struct {
		address  string
		accepted atomic.Int64
		requests atomic.Int64
	}
)

func serve(t *testing.T, scripts ...script) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1)) - 1
			go func() {
				defer func() { _ = c.Close() }()
				scripts[min(n, len(scripts)-1)](s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// respond returns a script that answers each request with the same bytes.
func respond(raw string) script {
	return func(s *server, c net.Conn, in *bufio.Reader) {
		for s.readRequest(in) {
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}
}

func (s *server) readRequest(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	s.requests.Add(1)
	return true
}

func get(address, id string) exchange.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		panic(err)
	}
	return exchange.Request{
		Address: address,
		HTTP:    r,
		Matches: func(a *http.Response) bool { return id == "" || a.Header.Get("Id") == id },
	}
}

// readBody returns the body of the response, or the error of the request.
func readBody(r exchange.Result) (string, error) {
	switch r := r.(type) {
	case exchange.NotSent:
		return "", errors.Join(errNotSent, r.Err)
	case exchange.Unanswered:
		return "", errors.Join(errUnanswered, r.Err)
	case exchange.Answered:
		defer r.Body.Release()
		body, err := io.ReadAll(r.Body)
		return string(body), err
	}
	return "", nil
}

var (
	errNotSent    = errors.New("not sent")
	errUnanswered = errors.New("lost")
)

const (
	completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
)

func TestConnectionReuse(t *testing.T) {
	tests := map[string]struct {
		response string
		conns    int64
	}{
		"with a length":                   {completeResponse, 1},
		"chunked":                         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"after an interim response":       {"HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, 1},
		"with Connection: close":          {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"followed by other bytes":         {completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 3},
		"with a short Keep-Alive timeout": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, respond(tt.response))
			c := exchange.NewClient()
			for range 3 {
				body, err := readBody(c.Do(t.Context(), get(s.address, "")))
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			is.Equal(s.accepted.Load(), tt.conns)
			is.Equal(c.Dials(), tt.conns)
		})
	}
}

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		response string
		want     error
	}{
		"closed without a response": {"", errUnanswered},
		"not HTTP":                  {"\x00\x01nonsense\r\n\r\n", errUnanswered},
		"truncated head":            {"HTTP/1.1 200 OK\r\nContent-Le", errUnanswered},
		"truncated body":            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", io.ErrUnexpectedEOF},
		"truncated chunk":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", io.ErrUnexpectedEOF},
		"missing last chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", io.ErrUnexpectedEOF},
		"only interim responses":    {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), errUnanswered},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
				if s.readRequest(in) {
					// The client may have closed the connection already.
					_, _ = io.WriteString(c, tt.response)
				}
			})
			_, err := readBody(exchange.NewClient().Do(t.Context(), get(s.address, "")))
			is.True(errors.Is(err, tt.want))
			is.Equal(s.requests.Load(), int64(1)) // the request is not repeated
		})
	}
}

// An idle connection that the server has closed is detected before a request is written to it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
		if s.readRequest(in) {
			_, _ = io.WriteString(c, completeResponse)
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	c := exchange.NewClient()
	for range 3 {
		body, err := readBody(c.Do(t.Context(), get(s.address, "1")))
		is.NoErr(err)
		is.Equal(body, "ok")
		<-closed
	}
	is.Equal(s.requests.Load(), int64(3))
}

// A late response to an earlier request is skipped and not taken for the response to this one.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	s := serve(t, respond("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother"+completeResponse))
	body, err := readBody(exchange.NewClient().Do(t.Context(), get(s.address, "1")))
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = readBody(exchange.NewClient().Do(t.Context(), get(address, "")))
	is.True(errors.Is(err, errNotSent))
}

func TestUnresponsiveServer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ net.Conn, in *bufio.Reader) {
		for s.readRequest(in) {
		}
	})
	r := get(s.address, "")
	r.ResponseHeaderTimeout = 30 * time.Millisecond
	_, err := readBody(exchange.NewClient().Do(t.Context(), r))
	is.True(errors.Is(err, errUnanswered) && errors.Is(err, exchange.ErrNoResponse))
}

// When the context ends, the client closes the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan error, 1)
	started := make(chan struct{})
	s := serve(t, func(s *server, _ net.Conn, in *bufio.Reader) {
		s.readRequest(in)
		close(started)
		_, err := in.ReadByte()
		disconnected <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := readBody(exchange.NewClient().Do(ctx, get(s.address, "")))
	is.True(errors.Is(err, errUnanswered))
	is.True(<-disconnected != nil)
}

// An upstream may respond before it has read a long request body. The connection is not used again.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, completeResponse)
		<-t.Context().Done()
	})
	c := exchange.NewClient()
	for range 2 {
		long := bytes.Repeat([]byte("x"), 8<<20)
		r := get(s.address, "1")
		r.HTTP.Method = http.MethodPost
		r.HTTP.ContentLength = int64(len(long))
		r.HTTP.Body = io.NopCloser(bytes.NewReader(long))
		body, err := readBody(c.Do(t.Context(), r))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(s.accepted.Load(), int64(2))
}

// A response without a length ends with its connection. It is complete only if the connection was closed and
// not reset.
func TestResponseWithoutLength(t *testing.T) {
	tests := map[string]struct {
		linger   int
		complete bool
	}{
		"closed": {-1, true},
		"reset":  {0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
				s.readRequest(in)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
				if tt.linger == 0 {
					// The client must have read the head before the reset discards unread bytes.
					time.Sleep(20 * time.Millisecond)
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						t.Error(err)
					}
				}
			})
			body, err := readBody(exchange.NewClient().Do(t.Context(), get(s.address, "")))
			is.Equal(err == nil, tt.complete)
			is.Equal(body, "ok")
		})
	}
}

func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	s := serve(t, respond(completeResponse))
	c := exchange.NewClient(exchange.WithIdleTimeout(time.Second))
	for range 2 {
		_, err := readBody(c.Do(t.Context(), get(s.address, "1")))
		is.NoErr(err)
		c.CloseIdle(time.Now().Add(time.Minute))
	}
	is.Equal(c.Dials(), int64(2))
}

// The limit of idle connections may change while the client runs.
func TestIdleConnectionsFollowTheirLimit(t *testing.T) {
	is := is.New(t)
	s := serve(t, respond(completeResponse))
	limit := 0
	c := exchange.NewClient(exchange.WithIdlePerAddress(func() int { return limit }))
	for _, want := range []int64{1, 2, 2} {
		_, err := readBody(c.Do(t.Context(), get(s.address, "1")))
		is.NoErr(err)
		is.Equal(c.Dials(), want)
		limit = 1
	}
}

// Guards against answers that pile up in the kernel for a client that doesn't read them: the server can send no more than the
// receive buffer takes. An enlarged buffer takes more, and the connection serves the next request all the same.
func TestSocketBuffersBoundUnreadAnswers(t *testing.T) {
	const answerBytes, receiveBytes, wideBytes = 2 << 20, 16 << 10, 256 << 10
	tests := map[string]struct {
		widen         bool
		lowest, limit int64
	}{
		"as set":  {false, 0, 100 << 10},
		"widened": {true, 128 << 10, 512 << 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			blocked := make(chan struct{})
			s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
				is.NoErr(c.(*net.TCPConn).SetWriteBuffer(receiveBytes))
				for n := 0; s.readRequest(in); n++ {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes)
					for left := answerBytes; left > 0; left -= 8 << 10 {
						if n == 0 {
							is.NoErr(c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)))
						}
						written, err := c.Write(make([]byte, 8<<10))
						sent.Add(int64(written))
						if err != nil {
							blocked <- struct{}{}
							<-blocked
							is.NoErr(c.SetWriteDeadline(time.Time{}))
							_, err = c.Write(make([]byte, 8<<10-written))
							is.NoErr(err)
							n++
						}
					}
				}
			})
			c := exchange.NewClient(exchange.WithSocketBuffers(receiveBytes, receiveBytes))
			a, ok := c.Do(t.Context(), get(s.address, "")).(exchange.Answered)
			is.True(ok)
			if tt.widen {
				a.Body.Widen(wideBytes)
			}
			<-blocked
			t.Logf("%d bytes sent", sent.Load())
			is.True(sent.Load() >= tt.lowest)
			is.True(sent.Load() <= tt.limit)
			blocked <- struct{}{}
			n, err := io.Copy(io.Discard, a.Body)
			is.NoErr(err)
			is.Equal(n, int64(answerBytes))
			body, err := readBody(c.Do(t.Context(), get(s.address, "")))
			is.NoErr(err)
			is.Equal(len(body), answerBytes)
			is.Equal(s.accepted.Load(), int64(1))
		})
	}
}

// Guards against a faulty server that fills the memory of the process with response heads that do not end.
func TestLongHeadsTakeMemory(t *testing.T) {
	head := func(bytes int) string {
		return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", bytes) + "\r\nContent-Length: 0\r\n\r\n"
	}
	fields := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 10_000) + "Content-Length: 0\r\n\r\n"
	tests := map[string]struct {
		response string
		// left is the memory that is left, or negative if none may be taken.
		left     int64
		answered bool
		// least and most bound the memory that is taken.
		least, most int64
	}{
		"short head":                 {head(4000), -1, true, 0, 0},
		"long head":                  {head(100_000), 1 << 20, true, 200_000, 400_000},
		"long head, no memory":       {head(100_000), 50_000, false, 1, 50_000},
		"many fields":                {fields, 1 << 20, true, 100_000, 400_000},
		"many fields, no memory":     {fields, 50_000, false, 1, 50_000},
		"long head without a budget": {head(100_000), -1, false, 0, 0},
		"too long head":              {head(300_000), 4 << 20, false, 500_000, 1 << 20},
		"no head, only a long line":  {strings.Repeat("x", 300_000), 4 << 20, false, 500_000, 1 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, respond(tt.response))
			r, taken := get(s.address, ""), int64(0)
			if tt.left >= 0 {
				r.Grow = func(bytes int64) bool {
					if taken+bytes > tt.left {
						return false
					}
					taken += bytes
					return true
				}
			}
			c := exchange.NewClient()
			switch a := c.Do(t.Context(), r).(type) {
			case exchange.Answered:
				is.True(tt.answered)
				a.Body.Release()
			case exchange.Unanswered:
				is.True(!tt.answered)
				is.True(!a.Disconnected) // the server does not count as crashed
			default:
				t.Fatalf("got %#v", a)
			}
			is.True(taken >= tt.least)
			is.True(taken <= tt.most)
		})
	}
}

// A long body of a response to an earlier request is skipped without memory.
func TestSkippedBodiesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	earlier := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
	s := serve(t, respond(earlier+"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"))
	body, err := readBody(exchange.NewClient().Do(t.Context(), get(s.address, "2")))
	is.NoErr(err)
	is.Equal(body, "ok")
}

package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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
	// script answers the requests of one connection, in order of their arrival.
	script func(s *server, c net.Conn, in *bufio.Reader)

	// server counts connections and plays a script on each.
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

// answer reads a request and writes raw bytes.
func answer(raw string) script {
	return func(s *server, c net.Conn, in *bufio.Reader) {
		for s.read(in) {
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}
}

func (s *server) read(in *bufio.Reader) bool {
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

// read returns the body of an answer, or the failure.
func read(r exchange.Result) (string, error) {
	switch r := r.(type) {
	case exchange.NotSent:
		return "", errors.Join(errNotSent, r.Err)
	case exchange.Unanswered:
		return "", errors.Join(errLost, r.Err)
	case exchange.Answered:
		defer r.Body.Release()
		body, err := io.ReadAll(r.Body)
		return string(body), err
	}
	return "", nil
}

var (
	errNotSent = errors.New("not sent")
	errLost    = errors.New("lost")
)

const (
	whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
)

func TestKeepsConnections(t *testing.T) {
	tests := map[string]struct {
		answer string
		conns  int64
	}{
		"with a length":         {whole, 1},
		"in chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"after interim answers": {"HTTP/1.1 103 Early Hints\r\n\r\n" + whole, 1},
		"told to close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"with bytes after it":   {whole + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 3},
		"a short keep-alive":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, answer(tt.answer))
			c := exchange.NewClient()
			for range 3 {
				body, err := read(c.Do(t.Context(), get(s.address, "")))
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
		answer string
		want   error
	}{
		"closes unanswered":    {"", errLost},
		"no HTTP":              {"\x00\x01nonsense\r\n\r\n", errLost},
		"a torn head":          {"HTTP/1.1 200 OK\r\nContent-Le", errLost},
		"a torn body":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", io.ErrUnexpectedEOF},
		"a torn chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", io.ErrUnexpectedEOF},
		"no last chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", io.ErrUnexpectedEOF},
		"only interim answers": {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), errLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
				if s.read(in) {
					// The client may be gone already.
					_, _ = io.WriteString(c, tt.answer)
				}
			})
			_, err := read(exchange.NewClient().Do(t.Context(), get(s.address, "")))
			is.True(errors.Is(err, tt.want))
			is.Equal(s.requests.Load(), int64(1)) // never sent again
		})
	}
}

// A connection that died while idle is found before a request is written to it.
func TestDeadIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
		if s.read(in) {
			_, _ = io.WriteString(c, whole)
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	c := exchange.NewClient()
	for range 3 {
		body, err := read(c.Do(t.Context(), get(s.address, "1")))
		is.NoErr(err)
		is.Equal(body, "ok")
		<-closed
	}
	is.Equal(s.requests.Load(), int64(3))
}

// The late answer to another request is skipped, not taken for the answer to this one.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	s := serve(t, answer("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother"+whole))
	body, err := read(exchange.NewClient().Do(t.Context(), get(s.address, "1")))
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = read(exchange.NewClient().Do(t.Context(), get(address, "")))
	is.True(errors.Is(err, errNotSent))
}

func TestSilentServer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ net.Conn, in *bufio.Reader) {
		for s.read(in) {
		}
	})
	r := get(s.address, "")
	r.ResponseHeaderTimeout = 30 * time.Millisecond
	_, err := read(exchange.NewClient().Do(t.Context(), r))
	is.True(errors.Is(err, errLost) && errors.Is(err, exchange.ErrSilent))
}

// Ending the context ends the work: the server sees the connection close.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	gone := make(chan error, 1)
	started := make(chan struct{})
	s := serve(t, func(s *server, _ net.Conn, in *bufio.Reader) {
		s.read(in)
		close(started)
		_, err := in.ReadByte()
		gone <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := read(exchange.NewClient().Do(ctx, get(s.address, "")))
	is.True(errors.Is(err, errLost))
	is.True(<-gone != nil)
}

// An upstream may answer before it has read a long body. The connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, whole)
		<-t.Context().Done()
	})
	c := exchange.NewClient()
	for range 2 {
		long := bytes.Repeat([]byte("x"), 8<<20)
		r := get(s.address, "1")
		r.HTTP.Method = http.MethodPost
		r.HTTP.ContentLength = int64(len(long))
		r.HTTP.Body = io.NopCloser(bytes.NewReader(long))
		body, err := read(c.Do(t.Context(), r))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(s.accepted.Load(), int64(2))
}

// An answer without a length ends with its connection, whole only if that was closed in order.
func TestAnswerWithoutALength(t *testing.T) {
	tests := map[string]struct {
		linger int
		whole  bool
	}{
		"closed": {-1, true},
		"reset":  {0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(s *server, c net.Conn, in *bufio.Reader) {
				s.read(in)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
				if tt.linger == 0 {
					// The head must arrive before the reset discards what is unread.
					time.Sleep(20 * time.Millisecond)
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						t.Error(err)
					}
				}
			})
			body, err := read(exchange.NewClient().Do(t.Context(), get(s.address, "")))
			is.Equal(err == nil, tt.whole)
			is.Equal(body, "ok")
		})
	}
}

func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	s := serve(t, answer(whole))
	c := exchange.NewClient(exchange.WithIdleLife(time.Second))
	for range 2 {
		_, err := read(c.Do(t.Context(), get(s.address, "1")))
		is.NoErr(err)
		c.CloseIdle(time.Now().Add(time.Minute))
	}
	is.Equal(c.Dials(), int64(2))
}

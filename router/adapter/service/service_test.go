package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/adapter/service"
	"gooseberrypin.example/router/port"
)

func TestCallIsSentOnce(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		body   string
		want   string
		runs   int32
	}{
		"answered": {
			answer: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") },
			body:   "{}", want: "answered 200 done", runs: 2,
		},
		"connection closed after the run": {
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			body:   "{}", want: "lost", runs: 2,
		},
		"connection closed after a call without a body": {
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:   "lost", runs: 2,
		},
		"redirect response": {
			answer: func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/other", http.StatusPermanentRedirect)
			},
			want: "answered 308 ", runs: 2,
		},
		"without a length": {answer: rawAnswer("HTTP/1.1 200 OK\r\n\r\ndone"), body: "{}", want: "answered 200 done", runs: 2},
		"status 000":       {answer: rawAnswer("HTTP/1.1 000 Trouble\r\n\r\ndone"), body: "{}", want: "lost", runs: 2},
		"status 099":       {answer: rawAnswer("HTTP/1.1 099 Trouble\r\n\r\ndone"), body: "{}", want: "lost", runs: 2},
		"chunks, with a blank before the colon": {
			answer: rawAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
			body:   "{}", want: "lost", runs: 2,
		},
		"length, with a blank before the colon": {
			answer: rawAnswer("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndonemore"),
			body:   "{}", want: "lost", runs: 2,
		},
		"status 101": {answer: rawAnswer("HTTP/1.1 101 Switching Protocols\r\n\r\ndone"), body: "{}", want: "lost", runs: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				c.answer(w, r)
			}))
			defer server.Close()
			client := service.NewClient()
			for range 2 {
				o := client.Call(context.Background(), server.Listener.Addr().String(),
					port.ServiceCall{Path: "/run", Body: []byte(c.body), IdempotencyKey: "k"})
				is.Equal(describe(o), c.want)
			}
			is.Equal(runs.Load(), c.runs)
		})
	}
}

// rawAnswer returns a handler that writes an answer byte for byte and closes the connection.
func rawAnswer(raw string) http.HandlerFunc {
	return endedAnswer(raw, func(*net.TCPConn) {})
}

// endedAnswer is rawAnswer with a function that is called before the connection is closed.
func endedAnswer(raw string, end func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, raw)
		end(c.(*net.TCPConn))
		_ = c.Close()
	}
}

func TestCallNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	o := service.NewClient().Call(context.Background(), l.Addr().String(), port.ServiceCall{Path: "/run"})
	is.Equal(describe(o), "not sent")
}

func describe(o port.ServiceOutcome) string {
	switch o := o.(type) {
	case port.ServiceAnswered:
		return fmt.Sprintf("answered %d %s", o.Status, o.Body)
	case port.ServiceNotSent:
		return "not sent"
	case port.ServiceAnswerLost:
		return "lost"
	}
	return ""
}

// Guards against a part of an answer that counts as a whole one: the service answers a long call at once, without a length, and
// resets the connection while the call is still being written.
func TestAnswerThatIsResetDuringItsCallIsLost(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after 2 ms": 2 * time.Millisecond, "after 60 ms": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(endedAnswer("HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
				time.Sleep(pause)
				_ = c.SetLinger(0)
			}))
			defer server.Close()
			for range 16 {
				call := port.ServiceCall{Path: "/run", Body: make([]byte, 8<<20), IdempotencyKey: "k"}
				is.New(t).Equal(describe(service.NewClient().Call(t.Context(), server.Listener.Addr().String(), call)), "lost")
			}
		})
	}
}

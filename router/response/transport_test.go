package response_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/response"
)

// respondRaw starts a server that sends raw bytes in response to the first request on a connection and closes it. It returns the
// URL of the server.
func respondRaw(t *testing.T, raw string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

func TestClientRejectsBrokenHeads(t *testing.T) {
	tests := map[string]struct {
		head  string
		sound bool
	}{
		"sound":                           {"HTTP/1.1 200 OK\r\nA: b\r\n", true},
		"error":                           {"HTTP/1.1 500 No\r\n", true},
		"status that is not registered":   {"HTTP/1.1 799 Own\r\n", true},
		"after an interim response":       {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n", true},
		"status 000":                      {"HTTP/1.1 000 Trouble\r\n", false},
		"status 099":                      {"HTTP/1.1 099 Trouble\r\n", false},
		"status +20":                      {"HTTP/1.1 +20 Trouble\r\n", false},
		"status 101 without a request":    {"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n", false},
		"blank in a name":                 {"HTTP/1.1 200 OK\r\nA b: c\r\n", false},
		"blank before a colon":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
		"blank at the begin of a name":    {"HTTP/1.1 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n", false},
		"the same after an interim":       {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n", false},
		"lines that end with LF alone":    {"HTTP/1.1 200 OK\nA: b\n", true},
		"no field":                        {"HTTP/1.1 200 OK\r\n", true},
		"control byte in a name":          {"HTTP/1.1 200 OK\r\nA\x01b: c\r\n", false},
		"blank in a name of an interim":   {"HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n", false},
		"all characters of a name":        {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n", true},
		"status 000 after an interim one": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := response.NewClient()
			a, err := c.Get(respondRaw(t, tt.head+"\r\nbody"))
			is.Equal(err == nil, tt.sound)
			if err != nil {
				return
			}
			body, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.NoErr(a.Body.Close())
			is.Equal(string(body), "body")
		})
	}
}

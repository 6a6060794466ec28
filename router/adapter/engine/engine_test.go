package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/adapter/engine"
	"gooseberrypin.example/router/port"
)

// Guards against broken responses that count as the success of an order or as the result of a prefill.
func TestBrokenResponsesAreErrors(t *testing.T) {
	tests := map[string]struct {
		head string
		ok   bool
	}{
		"sound":           {"HTTP/1.1 200 OK\r\n", true},
		"status 000":      {"HTTP/1.1 000 Trouble\r\n", false},
		"status 099":      {"HTTP/1.1 099 Trouble\r\n", false},
		"status 101":      {"HTTP/1.1 101 Switching Protocols\r\n", false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nA b: c\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, tt.head+"\r\n{}")
				_ = c.Close()
			}))
			defer server.Close()
			client := engine.NewClient(server.Listener.Addr().String(), "")
			is.Equal(client.Order(t.Context(), port.EngineOrder{}) == nil, tt.ok)
			_, err := client.Prefill(t.Context(), port.PrefillWork{})
			is.Equal(err == nil, tt.ok)
		})
	}
}

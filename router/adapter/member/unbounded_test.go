package member_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/adapter/member"
	"gooseberrypin.example/router/membership"
)

const (
	// maxSentBytes bounds what the server can send before the client closes the connection. The socket buffers of
	// the kernel take some of it.
	maxSentBytes = 24 << 20
)

// TestUnboundedResponseIsAborted guards against reading a response without end. The address of a stale seed may belong
// to an unrelated server by now.
func TestUnboundedResponseIsAborted(t *testing.T) {
	is := is.New(t)
	sent := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for r := 0; sent.Load() < 4*maxSentBytes; r++ {
			n, err := w.Write([]byte(strings.Repeat("x", 32<<10)))
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	_, err := member.NewClient(server.Client()).Exchange(t.Context(), server.Listener.Addr().String(), membership.Update{})
	is.True(err != nil)
	is.True(sent.Load() < maxSentBytes)
}

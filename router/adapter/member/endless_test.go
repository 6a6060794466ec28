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
	// endlessBytes is what a stranger may get rid of: some buffers of the kernel.
	endlessBytes = 24 << 20
)

// A stale seed's address may belong to anybody by now.
func TestEndlessAnswerOfAStranger(t *testing.T) {
	is := is.New(t)
	poured := &atomic.Int64{}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for r := 0; poured.Load() < 4*endlessBytes; r++ {
			n, err := w.Write([]byte(strings.Repeat("x", 32<<10)))
			if err != nil {
				return
			}
			poured.Add(int64(n))
		}
	}))
	defer listener.Close()
	_, err := member.NewClient(listener.Client()).Exchange(t.Context(), listener.Listener.Addr().String(), membership.Update{})
	is.True(err != nil)
	is.True(poured.Load() < endlessBytes)
}

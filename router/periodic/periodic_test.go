package periodic_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/periodic"
)

func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		periodic.Do(ctx, time.Second, func(time.Time) { calls++ })
		is.Equal(calls, 3)
	})
}

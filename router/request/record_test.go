package request_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

var generation = request.Generation{Partner: "parish", Key: "k1", Model: "care", Prompt: "how to dry a quilt"}

func open(t *testing.T, table *request.Table) *request.Record {
	t.Helper()
	r, _, refused := table.Open(generation)
	is.New(t).True(refused == nil)
	return r
}

// readAll reads until the completion or a refusal, and returns the text.
func readAll(ctx context.Context, d *request.Reader) (string, *refusal.Refusal) {
	var text strings.Builder
	for {
		p, refused := d.Next(ctx)
		if refused != nil {
			return text.String(), refused
		}
		text.WriteString(strings.Join(p.Tokens, ""))
		if p.Completion != nil {
			return text.String(), nil
		}
	}
}

func TestNewestConnectionReceivesTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := open(t, request.NewTable())
		first, _ := r.Join(request.Position{Offset: 0})
		r.Append([]string{"hang ", "it "})
		second, _ := r.Join(request.Position{Offset: 1})
		r.Append([]string{"out"})
		r.Finish("stop")
		_, refused := readAll(t.Context(), first)
		is.Equal(refused.Reason, refusal.Superseded)
		text, refused := readAll(t.Context(), second)
		is.True(refused == nil)
		is.Equal(text, "it out")
		r.MarkDelivered()
		_, refused = r.Join(request.Position{Offset: 0})
		is.Equal(refused.Reason, refusal.AlreadyAnswered)
		is.Equal(refused.Ran, refusal.RanYes)
	})
}

func TestWorkIsCancelledWithoutReader(t *testing.T) {
	cases := map[string]struct {
		reconnectAfter time.Duration
		wantCancelled  bool
	}{
		"no reconnect within the grace": {time.Second, true},
		"reconnect within the grace":    {50 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := open(t, request.NewTable(request.WithReconnectGrace(200*time.Millisecond)))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r.SetCancel(cancel)
				reader, _ := r.Join(request.Position{Offset: 0})
				reader.Close()
				time.AfterFunc(c.reconnectAfter, func() { _, _ = r.Join(request.Position{Offset: 0}) })
				synctest.Wait()
				<-time.After(2 * time.Second)
				is.Equal(ctx.Err() != nil, c.wantCancelled)
			})
		})
	}
}

func TestUndeliveredAnswerIsRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := request.NewTable(request.WithUndeliveredRetention(30 * time.Second))
		r := open(t, table)
		disconnected, _ := r.Join(request.Position{Offset: 0})
		r.Append([]string{"a", "b"})
		disconnected.Close()
		r.Finish("stop")
		<-time.After(20 * time.Second)
		table.Sweep(time.Now())
		again := open(t, table)
		is.Equal(again, r)
		reader, refused := again.Join(request.Position{Offset: 1})
		is.True(refused == nil)
		text, _ := readAll(t.Context(), reader)
		is.Equal(text, "b")
		<-time.After(11 * time.Second)
		table.Sweep(time.Now())
		is.Equal(table.Find(generation.KeyDigest()), nil)
	})
}

func TestCompletionGoesToOneConnection(t *testing.T) {
	cases := map[string]struct {
		afterCompletion func(*request.Record, *request.Reader)
		// wait is how long the second connection waits for the completion or a refusal.
		wait   time.Duration
		reason refusal.Reason
	}{
		"still being sent": {
			afterCompletion: func(*request.Record, *request.Reader) {},
			wait:            time.Minute, reason: refusal.Cancelled,
		},
		"sent, delivery confirmed later": {
			afterCompletion: func(r *request.Record, d *request.Reader) {
				d.CompletionSent()
				time.AfterFunc(3*time.Second, r.MarkDelivered)
			},
			wait: 3 * time.Second, reason: refusal.AlreadyAnswered,
		},
		"sent, delivery never confirmed": {
			afterCompletion: func(_ *request.Record, d *request.Reader) { d.CompletionSent() },
			wait:            5 * time.Second,
		},
		"sending failed": {
			afterCompletion: func(_ *request.Record, d *request.Reader) { d.CompletionNotSent() },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				r := open(t, request.NewTable())
				first, _ := r.Join(request.Position{})
				r.Append([]string{"a"})
				r.Finish("stop")
				_, refused := readAll(ctx, first)
				is.True(refused == nil)
				second, _ := r.Join(request.Position{})
				c.afterCompletion(r, first)
				began := time.Now()
				_, refused = readAll(ctx, second)
				is.Equal(time.Since(began), c.wait)
				if c.reason == 0 {
					is.True(refused == nil)
					return
				}
				is.Equal(refused.Reason, c.reason)
			})
		})
	}
}

func TestKeyReusedForOtherContentIsRefused(t *testing.T) {
	is := is.New(t)
	table := request.NewTable()
	open(t, table)
	other := generation
	other.Prompt = "something else"
	_, _, refused := table.Open(other)
	is.Equal(refused.Reason, refusal.KeyReused)
}

// A caller that disconnects while its request may have run is not answered that it did not run.
func TestDisconnectedCallerLearnsThatItsRequestMayHaveRun(t *testing.T) {
	tests := map[string]struct {
		tokens []string
		want   refusal.Ran
	}{
		"no token yet": {nil, refusal.RanUnknown},
		"some tokens":  {[]string{"hang "}, refusal.RanYes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := open(t, request.NewTable())
			reader, _ := r.Join(request.Position{})
			if tt.tokens != nil {
				r.Append(tt.tokens)
				_, refused := reader.Next(t.Context())
				is.Equal(refused, nil)
			}
			ctx, disconnect := context.WithCancel(t.Context())
			disconnect()
			_, refused := reader.Next(ctx)
			is.Equal(refused.Reason, refusal.Cancelled)
			is.Equal(refused.Ran, tt.want)
		})
	}
}

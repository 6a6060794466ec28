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

func open(t *testing.T, b *request.Table) *request.Record {
	t.Helper()
	r, _, why := b.Open(generation)
	is.New(t).True(why == nil)
	return r
}

// readAll reads until the completion or a refusal.
func readAll(ctx context.Context, d *request.Reader) (string, *refusal.Refusal) {
	var text strings.Builder
	for {
		p, why := d.Next(ctx)
		if why != nil {
			return text.String(), why
		}
		text.WriteString(strings.Join(p.Tokens, ""))
		if p.Completion != nil {
			return text.String(), nil
		}
	}
}

func TestNewestConnectionGetsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := open(t, request.NewTable())
		first, _ := r.Join(request.Position{Offset: 0})
		r.Append([]string{"hang ", "it "})
		second, _ := r.Join(request.Position{Offset: 1})
		r.Append([]string{"out"})
		r.Finish("stop")
		_, why := readAll(t.Context(), first)
		is.Equal(why.Reason, refusal.Superseded)
		text, why := readAll(t.Context(), second)
		is.True(why == nil)
		is.Equal(text, "it out")
		r.MarkDelivered()
		_, why = r.Join(request.Position{Offset: 0})
		is.Equal(why.Reason, refusal.AlreadyAnswered)
		is.Equal(why.Ran, refusal.RanYes)
	})
}

func TestWorkEndsWhenNobodyReads(t *testing.T) {
	cases := map[string]struct {
		back time.Duration
		want bool
	}{
		"the caller stays away":      {time.Second, true},
		"the caller is back in time": {50 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := open(t, request.NewTable(request.WithGrace(200*time.Millisecond)))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r.SetCancel(cancel)
				reader, _ := r.Join(request.Position{Offset: 0})
				reader.Close()
				time.AfterFunc(c.back, func() { _, _ = r.Join(request.Position{Offset: 0}) })
				synctest.Wait()
				<-time.After(2 * time.Second)
				is.Equal(ctx.Err() != nil, c.want)
			})
		})
	}
}

func TestKeptAnswerWaitsForItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := request.NewTable(request.WithKeep(30 * time.Second))
		r := open(t, b)
		lost, _ := r.Join(request.Position{Offset: 0})
		r.Append([]string{"a", "b"})
		lost.Close()
		r.Finish("stop")
		<-time.After(20 * time.Second)
		b.Sweep(time.Now())
		again := open(t, b)
		is.Equal(again, r)
		reader, why := again.Join(request.Position{Offset: 1})
		is.True(why == nil)
		text, _ := readAll(t.Context(), reader)
		is.Equal(text, "b")
		<-time.After(11 * time.Second)
		b.Sweep(time.Now())
		is.Equal(b.Find(generation.KeyDigest()), nil)
	})
}

func TestCompletionGoesToOneConnection(t *testing.T) {
	cases := map[string]struct {
		fate func(*request.Record, *request.Reader)
		// waits is how long the second connection waits for its end.
		waits  time.Duration
		reason refusal.Reason
	}{
		"still being sent": {
			fate:  func(*request.Record, *request.Reader) {},
			waits: time.Minute, reason: refusal.Cancelled,
		},
		"sent, and delivered later": {
			fate: func(r *request.Record, d *request.Reader) {
				d.CompletionSent()
				time.AfterFunc(3*time.Second, r.MarkDelivered)
			},
			waits: 3 * time.Second, reason: refusal.AlreadyAnswered,
		},
		"sent, and never heard of": {
			fate:  func(_ *request.Record, d *request.Reader) { d.CompletionSent() },
			waits: 5 * time.Second,
		},
		"not sent": {
			fate: func(_ *request.Record, d *request.Reader) { d.CompletionNotSent() },
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
				_, why := readAll(ctx, first)
				is.True(why == nil)
				second, _ := r.Join(request.Position{})
				c.fate(r, first)
				began := time.Now()
				_, why = readAll(ctx, second)
				is.Equal(time.Since(began), c.waits)
				if c.reason == 0 {
					is.True(why == nil)
					return
				}
				is.Equal(why.Reason, c.reason)
			})
		})
	}
}

func TestKeyReusedForOtherContentIsRefused(t *testing.T) {
	is := is.New(t)
	b := request.NewTable()
	open(t, b)
	other := generation
	other.Prompt = "something else"
	_, _, why := b.Open(other)
	is.Equal(why.Reason, refusal.KeyReused)
}

package partner_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/matryer/is"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	"gooseberrypin.example/gen/caller/v1/callerv1connect"
	"gooseberrypin.example/standin/partner"
)

type (
	router struct {
		callerv1connect.UnimplementedRouterHandler
		tries    atomic.Int32
		call     func(ctx context.Context, try int32) (*callerv1.CallResponse, *callerv1.Refusal)
		generate func(try int32, offset int64, send func(offset int64, completion bool, tokens ...string))
	}
)

func (r *router) Call(ctx context.Context, _ *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	answer, refusal := r.call(ctx, r.tries.Add(1))
	if refusal != nil {
		err := connect.NewError(connect.CodeUnavailable, nil)
		detail, _ := connect.NewErrorDetail(refusal)
		err.AddDetail(detail)
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

func (r *router) Generate(_ context.Context, q *connect.Request[callerv1.GenerateRequest], s *connect.ServerStream[callerv1.GenerateResponse]) error {
	sum := sha256.Sum256([]byte("abc"))
	r.generate(r.tries.Add(1), q.Msg.GetOffsetTokens(), func(offset int64, completion bool, tokens ...string) {
		m := &callerv1.GenerateResponse{OffsetTokens: offset, Tokens: tokens}
		if completion {
			m.Completion = &callerv1.Completion{TokenCount: 3, DigestSha256: hex.EncodeToString(sum[:])}
		}
		_ = s.Send(m)
	})
	return nil
}

func TestCall(t *testing.T) {
	late, resent := make(chan struct{}), make(chan struct{})
	cases := map[string]struct {
		call func(ctx context.Context, try int32) (*callerv1.CallResponse, *callerv1.Refusal)
		late bool
		want partner.Report
	}{
		"refused, then answered": {
			call: func(_ context.Context, try int32) (*callerv1.CallResponse, *callerv1.Refusal) {
				if try == 1 {
					return nil, &callerv1.Refusal{Ran: callerv1.Ran_RAN_NO, RetryAfterMs: 1}
				}
				return &callerv1.CallResponse{Status: 200}, nil
			},
			want: partner.Report{Answered: 1, Resends: 1, DidNotRunClaims: 1},
		},
		"a replay before the late first answer": {
			call: func(_ context.Context, try int32) (*callerv1.CallResponse, *callerv1.Refusal) {
				if try == 1 {
					<-late
					return &callerv1.CallResponse{Status: 200}, nil
				}
				defer close(late)
				return &callerv1.CallResponse{Status: 200, Replayed: true}, nil
			},
			late: true,
			want: partner.Report{Answered: 1, Resends: 1, Replayed: 1},
		},
		"answered twice": {
			call: func(_ context.Context, try int32) (*callerv1.CallResponse, *callerv1.Refusal) {
				if try == 1 {
					<-resent
				} else {
					close(resent)
				}
				return &callerv1.CallResponse{Status: 200}, nil
			},
			late: true,
			want: partner.Report{Answered: 1, Resends: 1, Duplicates: 1},
		},
		"given up": {
			call: func(context.Context, int32) (*callerv1.CallResponse, *callerv1.Refusal) {
				return nil, &callerv1.Refusal{Ran: callerv1.Ran_RAN_NO, Reason: callerv1.Reason_REASON_TOMBSTONED}
			},
			want: partner.Report{Refused: 1, DidNotRunClaims: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			patience := time.Minute
			if c.late {
				patience = 20 * time.Millisecond
			}
			report := run(t, &router{call: c.call}, partner.KindCall, patience)
			is.Equal(counts(report), counts(c.want))
		})
	}
}

func TestGenerate(t *testing.T) {
	cases := map[string]struct {
		generate func(try int32, offset int64, send func(offset int64, completion bool, tokens ...string))
		want     partner.Report
	}{
		"cut, then resumed": {
			generate: func(try int32, offset int64, send func(int64, bool, ...string)) {
				if try == 1 {
					send(0, false, "a", "b")
					return
				}
				send(offset, true, "c")
			},
			want: partner.Report{Answered: 1, Resends: 1},
		},
		"a gap": {
			generate: func(_ int32, _ int64, send func(int64, bool, ...string)) {
				send(0, false, "a")
				send(2, true, "c")
			},
			want: partner.Report{Failed: 1, Mismatches: 1},
		},
		"another answer": {
			generate: func(_ int32, _ int64, send func(int64, bool, ...string)) { send(0, true, "a", "b", "x") },
			want:     partner.Report{Failed: 1, Mismatches: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := run(t, &router{generate: c.generate}, partner.KindGenerate, time.Minute)
			is.Equal(counts(report), counts(c.want))
		})
	}
}

func TestNewKeyCarriesItsCreation(t *testing.T) {
	is := is.New(t)
	created := time.UnixMilli(1_796_351_382_123)
	id, err := uuid.Parse(partner.NewKey(created, rand.New(rand.NewPCG(1, 1))))
	is.NoErr(err)
	is.Equal(id.Version(), uuid.Version(7))
	seconds, nanos := id.Time().UnixTime()
	is.Equal(time.Unix(seconds, nanos).UnixMilli(), created.UnixMilli())
}

func run(t *testing.T, r *router, kind partner.Kind, patience time.Duration) partner.Report {
	t.Helper()
	_, handler := callerv1connect.NewRouterHandler(r)
	server := httptest.NewServer(handler)
	defer server.Close()
	client := partner.New("credential", []string{server.Listener.Addr().String()},
		partner.WithHedgeDelay(patience), partner.WithMaxAttempts(2), partner.WithTimeout(time.Minute), partner.WithDuplicateWindow(time.Minute))
	return client.Run(context.Background(), partner.Load{
		Requests: 1, Kind: kind, Models: []string{"m"}, Services: []string{"s"}, Path: "/bookings", Seed: 1,
	})
}

func counts(r partner.Report) [8]int {
	return [8]int{r.Answered, r.Refused, r.Failed, r.Duplicates, r.Mismatches, r.Replayed, r.Resends, r.DidNotRunClaims}
}

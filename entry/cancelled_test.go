package entry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gen/fleet/v1/fleetv1connect"
	"gooseberrypin.example/router/refusal"
	"gooseberrypin.example/router/request"
)

var (
	errDisconnected = errors.New("the caller has disconnected")
)

type (
	// keeperStandin is a keeper that sends one piece of an answer.
	keeperStandin struct{}
)

func (keeperStandin) Keep(_ context.Context, _ *connect.Request[fleetv1.KeepRequest], s *connect.ServerStream[fleetv1.KeepEvent]) error {
	return s.Send(&fleetv1.KeepEvent{Event: &fleetv1.KeepEvent_Piece{Piece: &callerv1.GenerateResponse{AnswerId: "a", Tokens: []string{"hang "}}}})
}

func disconnect(request.Piece) error { return errDisconnected }

// A caller that disconnects during its answer is not answered that its request did not run, whichever entry keeps it.
func TestCallerThatLeavesDuringItsAnswerLearnsThatItRan(t *testing.T) {
	tests := map[string]func(t *testing.T) *refusal.Refusal{
		"kept here": func(t *testing.T) *refusal.Refusal {
			r, _, refused := request.NewTable().Open(request.Generation{Key: "k"})
			is.New(t).Equal(refused, nil)
			reader, _ := r.Join(request.Position{})
			r.Append([]string{"hang "})
			return new(Entry).sendAnswer(t.Context(), reader, disconnect)
		},
		"kept by another entry": func(t *testing.T) *refusal.Refusal {
			mux := http.NewServeMux()
			mux.Handle(fleetv1connect.NewKeeperHandler(keeperStandin{}))
			server := httptest.NewServer(mux)
			defer server.Close()
			stream, err := fleetv1connect.NewKeeperClient(server.Client(), server.URL).Keep(t.Context(), connect.NewRequest(&fleetv1.KeepRequest{}))
			is.New(t).NoErr(err)
			return new(Entry).receive(stream, strings.TrimPrefix(server.URL, "http://"), disconnect)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := leave(t)
			is.Equal(refused.Reason, refusal.Cancelled)
			is.Equal(refused.Ran, refusal.RanYes)
		})
	}
}

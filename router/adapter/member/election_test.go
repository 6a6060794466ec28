package member_test

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/adapter/member"
	"gooseberrypin.example/router/election"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
)

func TestVote(t *testing.T) {
	is := is.New(t)
	group := membership.NewGroup("10.1.0.2:8144", nil, nil, event.Discard())
	server := httptest.NewServer(member.NewElectionHandler(election.NewVoter("10.1.0.2:8144", true, nil, group, nil, event.Discard())))
	address := server.Listener.Addr().String()
	client := member.NewClient(server.Client())
	vote := func(candidate string, binding bool) bool {
		granted, err := client.Vote(t.Context(), address, election.Request{Candidate: candidate, Binding: binding})
		is.NoErr(err)
		return granted
	}
	is.True(!vote("", true))
	is.True(vote("10.1.0.0:8144", false))
	is.True(vote("10.1.0.1:8144", true))
	is.True(!vote("10.1.0.0:8144", true)) // the vote before is final
	is.True(vote("10.1.0.1:8144", true))
	server.Close()
	_, err := client.Vote(t.Context(), address, election.Request{Candidate: "10.1.0.1:8144"})
	is.True(err != nil)
}

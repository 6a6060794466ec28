package member

import (
	"context"

	"github.com/rotisserie/eris"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/election"
)

type (
	// ElectionServer implements the service Elections for a voter.
	ElectionServer struct {
		voter *election.Voter
	}
)

// NewElectionHandler returns the HTTP handler of the service Elections for a voter.
func NewElectionHandler(voter *election.Voter) fleetv1.TwirpServer {
	return fleetv1.NewElectionsServer(&ElectionServer{voter: voter})
}

// Vote implements election.Peers. It returns an error when the entry can't be reached or its response is invalid.
func (c *Client) Vote(ctx context.Context, address string, r election.Request) (bool, error) {
	elections := fleetv1.NewElectionsProtobufClient(fleet.URL(address), c.client)
	response, err := elections.Vote(ctx, &fleetv1.VoteRequest{Candidate: r.Candidate, Binding: r.Binding})
	if err != nil {
		return false, eris.Wrapf(err, "entry %s", address)
	}
	return response.GetGranted(), nil
}

// Vote implements the service Elections.
func (s *ElectionServer) Vote(_ context.Context, request *fleetv1.VoteRequest) (*fleetv1.VoteResponse, error) {
	r := election.Request{Candidate: request.GetCandidate(), Binding: request.GetBinding()}
	return &fleetv1.VoteResponse{Granted: r.Candidate != "" && s.voter.Vote(r)}, nil
}

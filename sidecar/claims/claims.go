// Package claims serves the claims of keys whose home is this sidecar.
package claims

import (
	"context"
	"time"

	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/router/adapter/wire"
	"gooseberrypin.example/router/claim"
)

type (
	server struct {
		table *claim.Table
	}
)

// NewServer returns the twirp service Claims for a table.
func NewServer(t *claim.Table) fleetv1.Claims {
	return &server{table: t}
}

// Claim implements the service Claims.
func (s *server) Claim(_ context.Context, q *fleetv1.ClaimRequest) (*fleetv1.ClaimResponse, error) {
	outcome := s.table.Claim(claim.Request{
		KeyDigest:     q.GetKeyDigest(),
		ContentDigest: q.GetContentDigest(),
		Keeper:        q.GetKeeper(),
		KeeperAddress: q.GetKeeperAddress(),
		Unreachable:   q.GetUnreachable(),
	}, time.Now())
	return toResponse(q.GetKeyDigest(), outcome), nil
}

// Settle implements the service Claims.
func (s *server) Settle(_ context.Context, q *fleetv1.SettleRequest) (*fleetv1.SettleResponse, error) {
	a := wire.ToAttempt(q.GetAttempt())
	settled := s.table.Settle(a.KeyDigest, q.GetKeeper(), a.Number, q.GetAnswered(), time.Now())
	return &fleetv1.SettleResponse{Settled: settled == claim.Settled, Unknown: settled == claim.Unknown}, nil
}

func toResponse(keyDigest string, outcome claim.Outcome) *fleetv1.ClaimResponse {
	switch o := outcome.(type) {
	case claim.Granted:
		granted := &fleetv1.Attempt{KeyDigest: keyDigest, Number: o.Number}
		return &fleetv1.ClaimResponse{
			Outcome:   &fleetv1.ClaimResponse_Granted{Granted: granted},
			CoveredMs: o.Covered.Milliseconds(),
		}
	case claim.Held:
		held := &fleetv1.ClaimHeld{Keeper: o.Keeper, KeeperAddress: o.KeeperAddress}
		return &fleetv1.ClaimResponse{Outcome: &fleetv1.ClaimResponse_Held{Held: held}}
	case claim.Refused:
		return &fleetv1.ClaimResponse{Outcome: &fleetv1.ClaimResponse_Refusal{Refusal: wire.FromRefusal(o.Refusal)}}
	case claim.Claimed:
	}
	return &fleetv1.ClaimResponse{}
}

package sidecar_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/sidecar"
	"gooseberrypin.example/router/claim"
)

func TestClaimReportsStoppedHomeAsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	server := fleet.NewServer(http.NotFoundHandler())
	go func() { _ = server.Serve(l) }()
	c := sidecar.NewClient(fleet.NewClient(access.NewKeys("key-for-the-test-only"), nil))
	_, err = c.Claim(context.Background(), address, claim.Request{})
	if err == nil || errors.Is(err, claim.ErrDown) {
		t.Fatalf("running home: err = %v, want an error other than ErrDown", err)
	}
	_ = server.Close()
	// The reused connection may fail with EOF, which does not show whether the process runs. A new one is refused.
	if _, err = c.Claim(context.Background(), address, claim.Request{}); !errors.Is(err, claim.ErrDown) {
		t.Fatalf("stopped home: err = %v, want ErrDown", err)
	}
}

package member_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/adapter/member"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
	"gooseberrypin.example/router/quarantine"
)

type (
	// delegate records the last update that was merged.
	delegate struct{ membership.Update }
)

func (*delegate) AddLocalState(update *membership.Update) { update.Ejected = []string{"i-2"} }

func (d *delegate) MergeRemoteState(update membership.Update) bool {
	d.Update = update
	return false
}

func TestExchange(t *testing.T) {
	is := is.New(t)
	d := &delegate{}
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard(), membership.WithIncarnation(7), membership.WithDelegate(d))
	server := httptest.NewServer(member.NewHandler(group))
	defer server.Close()
	client := member.NewClient(server.Client())
	sent := []membership.Member{
		{Address: "10.1.0.2:8144", Incarnation: 3, Heartbeat: 9},
		{Address: "10.1.0.3:8144", Incarnation: 4, SinceHeartbeat: time.Second, Left: true},
		{},
	}
	update := membership.Update{
		Members:  sent,
		Suspects: []quarantine.Suspect{{Fingerprint: "f", Crashes: []string{"i-1"}, Remaining: time.Minute}},
		Ejected:  []string{"i-1"},
	}
	answered, err := client.Exchange(t.Context(), server.Listener.Addr().String(), update)
	is.NoErr(err)
	is.Equal(d.Suspects, update.Suspects)
	is.Equal(d.Ejected, update.Ejected)
	is.Equal(answered.Ejected, []string{"i-2"})
	members := answered.Members
	is.Equal(members[0], membership.Member{Address: "10.1.0.1:8144", Incarnation: 7})
	is.Equal(len(members), 3)
	merged := group.Members()
	is.Equal(len(merged), 2)
	is.Equal(merged[0].Address, "10.1.0.2:8144")
	is.Equal(merged[1].Left, true)
	is.True(merged[1].SinceHeartbeat >= time.Second)
}

func TestExchangeWithUnreachableEntry(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	_, err := member.NewClient(server.Client()).Exchange(t.Context(), address, membership.Update{})
	is.True(err != nil)
}

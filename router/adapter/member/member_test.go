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
	// topics keeps the news that were heard.
	topics struct{ membership.Update }
)

func (*topics) AddLocalState(news *membership.Update) { news.Ejected = []string{"i-2"} }

func (s *topics) MergeRemoteState(news membership.Update) bool {
	s.Update = news
	return false
}

func TestMeet(t *testing.T) {
	is := is.New(t)
	heard := &topics{}
	group := membership.NewGroup("10.1.0.1:8144", nil, nil, event.Discard(), membership.WithIncarnation(7), membership.WithDelegate(heard))
	listener := httptest.NewServer(member.NewHandler(group))
	defer listener.Close()
	client := member.NewClient(listener.Client())
	known := []membership.Member{
		{Address: "10.1.0.2:8144", Incarnation: 3, Heartbeat: 9},
		{Address: "10.1.0.3:8144", Incarnation: 4, SinceHeartbeat: time.Second, Left: true},
		{},
	}
	news := membership.Update{
		Members:  known,
		Suspects: []quarantine.Suspect{{Fingerprint: "f", Crashes: []string{"i-1"}, Remaining: time.Minute}},
		Ejected:  []string{"i-1"},
	}
	answered, err := client.Exchange(t.Context(), listener.Listener.Addr().String(), news)
	is.NoErr(err)
	is.Equal(heard.Suspects, news.Suspects)
	is.Equal(heard.Ejected, news.Ejected)
	is.Equal(answered.Ejected, []string{"i-2"})
	answer := answered.Members
	is.Equal(answer[0], membership.Member{Address: "10.1.0.1:8144", Incarnation: 7})
	is.Equal(len(answer), 3)
	members := group.Members()
	is.Equal(len(members), 2)
	is.Equal(members[0].Address, "10.1.0.2:8144")
	is.Equal(members[1].Left, true)
	is.True(members[1].SinceHeartbeat >= time.Second)
}

func TestMeetNobody(t *testing.T) {
	is := is.New(t)
	listener := httptest.NewServer(nil)
	address := listener.Listener.Addr().String()
	listener.Close()
	_, err := member.NewClient(listener.Client()).Exchange(t.Context(), address, membership.Update{})
	is.True(err != nil)
}

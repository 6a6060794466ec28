package service_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	callerv1 "gooseberrypin.example/gen/caller/v1"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	adapter "gooseberrypin.example/router/adapter/booking"
	"gooseberrypin.example/router/booking"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/sidecar/service"
)

type (
	// fleet is two sidecars that reach each other and one service.
	fleet struct {
		mu       sync.Mutex
		runs     int
		broken   bool
		next     port.ServiceOutcome
		took     time.Duration
		store    *configuration.Store
		vms      *vm.Table
		sidecars map[string]*service.Sidecar
		ctx      context.Context
	}
)

func (f *fleet) Call(ctx context.Context, _ string, c port.ServiceCall) port.ServiceOutcome {
	f.mu.Lock()
	o := f.next
	if _, notSent := o.(port.ServiceNotSent); !notSent {
		f.runs++
	}
	took := f.took
	f.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return o
	case <-ctx.Done():
		return port.ServiceAnswerLost{Err: ctx.Err()}
	}
}

func (f *fleet) Acknowledge(ctx context.Context, from string, q booking.Question) port.AcknowledgeOutcome {
	other := f.sidecar(q.Member.VM)
	if other == nil {
		return port.AcknowledgeFailed{Err: errors.New("not started")}
	}
	a, err := other.Acknowledge(ctx, &fleetv1.AcknowledgeRequest{From: from, Revision: q.Revision})
	if err != nil {
		return port.AcknowledgeFailed{Err: err}
	}
	return port.Acknowledged{Acknowledgement: booking.Acknowledgement{Revision: a.GetRevision(), Running: int(a.GetRunning())}}
}

func (f *fleet) HandOver(ctx context.Context, to booking.Member, o booking.HandOver) (int, error) {
	f.mu.Lock()
	broken := f.broken
	f.mu.Unlock()
	if broken {
		return 0, errors.New("broken")
	}
	a, err := f.sidecar(to.VM).HandOver(ctx, adapter.FromHandOver(o))
	return int(a.GetAccepted()), err
}

// publish puts the members of the pool in force.
func (f *fleet) publish(t *testing.T, revision int64, members ...string) {
	t.Helper()
	c := &configuration.Configuration{
		Revision: revision,
		Pools:    []configuration.Pool{{Name: "desk", Role: configuration.RoleService, Selector: "pool=desk"}},
		Rules:    []configuration.Rule{{Name: "booking", Service: "booking", ServicePool: "desk"}},
	}
	for _, name := range members {
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: name, Kind: configuration.KindService, VM: name, Labels: label.Labels{"pool": "desk"},
		})
	}
	index, err := configuration.NewIndex(c)
	is.New(t).NoErr(err)
	f.store.Put(&configuration.Snapshot{Revision: revision, Index: index})
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		next:     port.ServiceAnswered{Status: 200, Body: []byte("booked")},
		took:     time.Second,
		store:    configuration.NewStore(),
		vms:      vm.NewTable(),
		sidecars: make(map[string]*service.Sidecar),
		ctx:      t.Context(),
	}
	list := &vm.List{Version: 1}
	for _, name := range []string{"a", "b"} {
		list.VMs = append(list.VMs, vm.VM{Name: name, Role: vm.RoleUpstream, State: vm.Live})
	}
	f.vms.Put(list)
	f.publish(t, 1, "a")
	f.start("a")
	f.start("b")
	<-time.After(10 * time.Second) // in the bubble's time, until keys are decided
	return f
}

func (f *fleet) setBroken(broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = broken
}

// start replaces a sidecar by a new one without records.
func (f *fleet) start(name string) {
	s := service.New(service.Settings{Upstream: name, VM: name}, f.store, f.vms, nil, event.Discard(),
		service.WithService(f), service.WithPeers(f))
	f.mu.Lock()
	f.sidecars[name] = s
	f.mu.Unlock()
	go s.Maintain(f.ctx)
}

func (f *fleet) sidecar(name string) *service.Sidecar {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecars[name]
}

func (f *fleet) run(ctx context.Context, at, key string, revision int64) string {
	m, err := f.sidecar(at).Run(ctx, &fleetv1.RunRequest{
		KeyDigest: key, KeyCreatedUnixMs: time.Now().UnixMilli(), ContentDigest: "c", Pool: "desk", Path: "/", Revision: revision,
	})
	return describe(m, err)
}

func (f *fleet) tombstone(at, key string, created time.Time, revision int64) string {
	m, err := f.sidecar(at).Tombstone(context.Background(), &fleetv1.TombstoneRequest{
		KeyDigest: key, KeyCreatedUnixMs: created.UnixMilli(), ContentDigest: "c", Pool: "desk", Revision: revision,
	})
	return describe(m, err)
}

// homedAt returns a key whose home is the given one of both sidecars.
func homedAt(name string, skip int) string {
	l := booking.NewLayout([]booking.Member{{Upstream: "a"}, {Upstream: "b"}})
	for n := 0; ; n++ {
		key := fmt.Sprint("key", n)
		if m, _ := l.Home(key); m.Upstream == name {
			if skip == 0 {
				return key
			}
			skip--
		}
	}
}

func describe(m *fleetv1.RunResponse, err error) string {
	if err != nil {
		return err.Error()
	}
	if r := m.GetRefusal(); r != nil {
		return fmt.Sprintf("%s %s", r.GetReason(), r.GetRan())
	}
	return fmt.Sprintf("%d %s replayed=%t", m.GetResult().GetStatus(), m.GetResult().GetBody(), m.GetResult().GetReplayed())
}

func TestRun(t *testing.T) {
	const (
		fresh    = "200 booked replayed=false"
		replayed = "200 booked replayed=true"
	)
	lost := fmt.Sprintf("%s %s", callerv1.Reason_REASON_UPSTREAM_LOST, callerv1.Ran_RAN_UNKNOWN)
	notSent := fmt.Sprintf("%s %s", callerv1.Reason_REASON_UPSTREAM_LOST, callerv1.Ran_RAN_NO)
	tombstoned := fmt.Sprintf("%s %s", callerv1.Reason_REASON_TOMBSTONED, callerv1.Ran_RAN_NO)
	unsettled := fmt.Sprintf("%s %s", callerv1.Reason_REASON_HOME_UNSETTLED, callerv1.Ran_RAN_UNKNOWN)
	inProgress := fmt.Sprintf("%s %s", callerv1.Reason_REASON_IN_PROGRESS, callerv1.Ran_RAN_UNKNOWN)
	tooOld := fmt.Sprintf("%s %s", callerv1.Reason_REASON_KEY_TOO_OLD, callerv1.Ran_RAN_UNKNOWN)
	leaving := fmt.Sprintf("%s %s", callerv1.Reason_REASON_LEAVING, callerv1.Ran_RAN_NO)
	cases := map[string]struct {
		play func(f *fleet) []string
		want []string
		runs int
	}{
		"a resend joins the run": {
			play: func(f *fleet) []string {
				first := make(chan string)
				go func() { first <- f.run(context.Background(), "a", "k", 1) }()
				synctest.Wait()
				second := f.run(context.Background(), "a", "k", 1)
				return []string{<-first, second}
			},
			want: []string{fresh, replayed}, runs: 1,
		},
		"the caller goes during the run": {
			play: func(f *fleet) []string {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				return []string{f.run(ctx, "a", "k", 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{inProgress, replayed}, runs: 1,
		},
		"the service is lost": {
			play: func(f *fleet) []string {
				f.next = port.ServiceAnswerLost{Err: errors.New("reset")}
				return []string{f.run(context.Background(), "a", "k", 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{lost, lost}, runs: 1,
		},
		"the call is not sent": {
			play: func(f *fleet) []string {
				answer := f.next
				f.next = port.ServiceNotSent{Err: errors.New("refused")}
				first := f.run(context.Background(), "a", "k", 1)
				f.next = answer
				return []string{first, f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{notSent, fresh}, runs: 1,
		},
		"a tombstone, then the run": {
			play: func(f *fleet) []string {
				return []string{f.tombstone("a", "k", time.Now(), 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{tombstoned, tombstoned}, runs: 0,
		},
		"a tombstone during the run": {
			play: func(f *fleet) []string {
				first := make(chan string)
				created := time.Now()
				go func() { first <- f.run(context.Background(), "a", "k", 1) }()
				synctest.Wait()
				second := f.tombstone("a", "k", created, 1)
				return []string{<-first, second}
			},
			want: []string{fresh, replayed}, runs: 1,
		},
		"not the home": {
			play: func(f *fleet) []string {
				return []string{f.run(context.Background(), "b", "k", 1), f.tombstone("b", "k", time.Now(), 1)}
			},
			want: []string{unsettled, unsettled}, runs: 0,
		},
		"an entry on another revision": {
			play: func(f *fleet) []string {
				return []string{f.run(context.Background(), "a", "k", 0), f.run(context.Background(), "a", "k", 2)}
			},
			want: []string{unsettled, unsettled}, runs: 0,
		},
		"a planned stop hands over": {
			play: func(f *fleet) []string {
				f.publish(t, 2, "a", "b")
				<-time.After(5 * time.Second)
				first := f.run(context.Background(), "a", homedAt("a", 0), 2)
				f.sidecar("a").Drain(context.Background())
				refused := f.run(context.Background(), "a", homedAt("a", 1), 2)
				f.publish(t, 3, "b")
				<-time.After(time.Second)
				return []string{first, refused, f.run(context.Background(), "b", homedAt("a", 0), 3)}
			},
			want: []string{fresh, leaving, replayed}, runs: 1,
		},
		"a move waits for its records": {
			play: func(f *fleet) []string {
				first := f.run(context.Background(), "a", "k", 1)
				f.setBroken(true)
				f.publish(t, 2, "b")
				<-time.After(time.Second)
				second := f.run(context.Background(), "b", "k", 2)
				f.setBroken(false)
				<-time.After(time.Second)
				return []string{first, second, f.run(context.Background(), "b", "k", 2)}
			},
			want: []string{fresh, unsettled, replayed}, runs: 1,
		},
		"a move goes on without its records": {
			play: func(f *fleet) []string {
				first := f.run(context.Background(), "a", "k", 1)
				created := time.Now()
				f.setBroken(true)
				f.publish(t, 2, "b")
				<-time.After(10 * time.Second)
				return []string{first, f.tombstone("b", "k", created, 2), f.run(context.Background(), "b", "other", 2)}
			},
			want: []string{fresh, tooOld, fresh}, runs: 2,
		},
		"planned stops and new starts": {
			play: func(f *fleet) []string {
				f.publish(t, 2, "a", "b")
				<-time.After(5 * time.Second)
				list := []string{f.run(context.Background(), "a", homedAt("a", 0), 2)}
				for range 2 {
					f.sidecar("a").Drain(context.Background())
					f.start("a")
					<-time.After(5 * time.Second)
					list = append(list, f.run(context.Background(), "a", homedAt("a", 0), 2))
				}
				return list
			},
			want: []string{fresh, replayed, replayed}, runs: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				is.Equal(c.play(f), c.want)
				is.Equal(f.runs, c.runs)
			})
		})
	}
}

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
	// testFleet is two sidecars with clients of each other and of one service. It implements
	// these clients.
	testFleet struct {
		mu            sync.Mutex
		runs          int
		handOverFails bool
		outcome       port.ServiceOutcome
		callDuration  time.Duration
		store         *configuration.Store
		vms           *vm.Table
		sidecars      map[string]*service.Sidecar
		ctx           context.Context
	}
)

func (f *testFleet) Call(ctx context.Context, _ string, c port.ServiceCall) port.ServiceOutcome {
	f.mu.Lock()
	o := f.outcome
	if _, notSent := o.(port.ServiceNotSent); !notSent {
		f.runs++
	}
	duration := f.callDuration
	f.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return o
	case <-ctx.Done():
		return port.ServiceAnswerLost{Err: ctx.Err()}
	}
}

func (f *testFleet) Acknowledge(ctx context.Context, from string, q booking.Question) port.AcknowledgeOutcome {
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

func (f *testFleet) HandOver(ctx context.Context, to booking.Member, o booking.HandOver) (int, error) {
	f.mu.Lock()
	fails := f.handOverFails
	f.mu.Unlock()
	if fails {
		return 0, errors.New("hand-over fails")
	}
	a, err := f.sidecar(to.VM).HandOver(ctx, adapter.FromHandOver(o))
	return int(a.GetAccepted()), err
}

// publish puts a configuration with the given members of the pool in force.
func (f *testFleet) publish(t *testing.T, revision int64, members ...string) {
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

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{
		outcome:      port.ServiceAnswered{Status: 200, Body: []byte("booked")},
		callDuration: time.Second,
		store:        configuration.NewStore(),
		vms:          vm.NewTable(),
		sidecars:     make(map[string]*service.Sidecar),
		ctx:          t.Context(),
	}
	list := &vm.List{Version: 1}
	for _, name := range []string{"a", "b"} {
		list.VMs = append(list.VMs, vm.VM{Name: name, Role: vm.RoleUpstream, State: vm.Live})
	}
	f.vms.Put(list)
	f.publish(t, 1, "a")
	f.start("a")
	f.start("b")
	<-time.After(10 * time.Second) // in the bubble's time, until the sidecars are settled
	return f
}

func (f *testFleet) setHandOverFails(fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handOverFails = fails
}

// start replaces a sidecar with a new one that has no records.
func (f *testFleet) start(name string) {
	s := service.New(service.Settings{Upstream: name, VM: name}, f.store, f.vms, nil, event.Discard(),
		service.WithService(f), service.WithPeers(f))
	f.mu.Lock()
	f.sidecars[name] = s
	f.mu.Unlock()
	go s.Maintain(f.ctx)
}

func (f *testFleet) sidecar(name string) *service.Sidecar {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecars[name]
}

func (f *testFleet) run(ctx context.Context, at, key string, revision int64) string {
	m, err := f.sidecar(at).Run(ctx, &fleetv1.RunRequest{
		KeyDigest: key, KeyCreatedUnixMs: time.Now().UnixMilli(), ContentDigest: "c", Pool: "desk", Path: "/", Revision: revision,
	})
	return describe(m, err)
}

func (f *testFleet) tombstone(at, key string, created time.Time, revision int64) string {
	m, err := f.sidecar(at).Tombstone(context.Background(), &fleetv1.TombstoneRequest{
		KeyDigest: key, KeyCreatedUnixMs: created.UnixMilli(), ContentDigest: "c", Pool: "desk", Revision: revision,
	})
	return describe(m, err)
}

// keyWithHome returns a key whose home is the named one of the two sidecars. It skips a number
// of such keys.
func keyWithHome(name string, skip int) string {
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
		executed = "200 booked replayed=false"
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
		// responses sends requests and returns descriptions of the responses.
		responses func(f *testFleet) []string
		want      []string
		runs      int
	}{
		"a resend joins the run": {
			responses: func(f *testFleet) []string {
				first := make(chan string)
				go func() { first <- f.run(context.Background(), "a", "k", 1) }()
				synctest.Wait()
				second := f.run(context.Background(), "a", "k", 1)
				return []string{<-first, second}
			},
			want: []string{executed, replayed}, runs: 1,
		},
		"the caller disconnects during the run": {
			responses: func(f *testFleet) []string {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				return []string{f.run(ctx, "a", "k", 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{inProgress, replayed}, runs: 1,
		},
		"the service is lost during the call": {
			responses: func(f *testFleet) []string {
				f.outcome = port.ServiceAnswerLost{Err: errors.New("reset")}
				return []string{f.run(context.Background(), "a", "k", 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{lost, lost}, runs: 1,
		},
		"a call that was not sent runs on resend": {
			responses: func(f *testFleet) []string {
				answer := f.outcome
				f.outcome = port.ServiceNotSent{Err: errors.New("refused")}
				first := f.run(context.Background(), "a", "k", 1)
				f.outcome = answer
				return []string{first, f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{notSent, executed}, runs: 1,
		},
		"a tombstone before the run": {
			responses: func(f *testFleet) []string {
				return []string{f.tombstone("a", "k", time.Now(), 1), f.run(context.Background(), "a", "k", 1)}
			},
			want: []string{tombstoned, tombstoned}, runs: 0,
		},
		"a tombstone during the run": {
			responses: func(f *testFleet) []string {
				first := make(chan string)
				created := time.Now()
				go func() { first <- f.run(context.Background(), "a", "k", 1) }()
				synctest.Wait()
				second := f.tombstone("a", "k", created, 1)
				return []string{<-first, second}
			},
			want: []string{executed, replayed}, runs: 1,
		},
		"a sidecar that is not the home": {
			responses: func(f *testFleet) []string {
				return []string{f.run(context.Background(), "b", "k", 1), f.tombstone("b", "k", time.Now(), 1)}
			},
			want: []string{unsettled, unsettled}, runs: 0,
		},
		"an entry with another revision": {
			responses: func(f *testFleet) []string {
				return []string{f.run(context.Background(), "a", "k", 0), f.run(context.Background(), "a", "k", 2)}
			},
			want: []string{unsettled, unsettled}, runs: 0,
		},
		"a planned stop hands records over": {
			responses: func(f *testFleet) []string {
				f.publish(t, 2, "a", "b")
				<-time.After(5 * time.Second)
				first := f.run(context.Background(), "a", keyWithHome("a", 0), 2)
				f.sidecar("a").Drain(context.Background())
				refused := f.run(context.Background(), "a", keyWithHome("a", 1), 2)
				f.publish(t, 3, "b")
				<-time.After(time.Second)
				return []string{first, refused, f.run(context.Background(), "b", keyWithHome("a", 0), 3)}
			},
			want: []string{executed, leaving, replayed}, runs: 1,
		},
		"the new home waits for the records of moved keys": {
			responses: func(f *testFleet) []string {
				first := f.run(context.Background(), "a", "k", 1)
				f.setHandOverFails(true)
				f.publish(t, 2, "b")
				<-time.After(time.Second)
				second := f.run(context.Background(), "b", "k", 2)
				f.setHandOverFails(false)
				<-time.After(time.Second)
				return []string{first, second, f.run(context.Background(), "b", "k", 2)}
			},
			want: []string{executed, unsettled, replayed}, runs: 1,
		},
		"the new home starts without records that can't be handed over": {
			responses: func(f *testFleet) []string {
				first := f.run(context.Background(), "a", "k", 1)
				created := time.Now()
				f.setHandOverFails(true)
				f.publish(t, 2, "b")
				<-time.After(10 * time.Second)
				return []string{first, f.tombstone("b", "k", created, 2), f.run(context.Background(), "b", "other", 2)}
			},
			want: []string{executed, tooOld, executed}, runs: 2,
		},
		"records return after planned stops and restarts": {
			responses: func(f *testFleet) []string {
				f.publish(t, 2, "a", "b")
				<-time.After(5 * time.Second)
				list := []string{f.run(context.Background(), "a", keyWithHome("a", 0), 2)}
				for range 2 {
					f.sidecar("a").Drain(context.Background())
					f.start("a")
					<-time.After(5 * time.Second)
					list = append(list, f.run(context.Background(), "a", keyWithHome("a", 0), 2))
				}
				return list
			},
			want: []string{executed, replayed, replayed}, runs: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t)
				is.Equal(c.responses(f), c.want)
				is.Equal(f.runs, c.runs)
			})
		})
	}
}

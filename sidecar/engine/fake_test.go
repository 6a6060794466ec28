package engine

import (
	"context"
	"errors"
	"iter"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	testModel     = "care"
	testKeeper    = "entry-1@1"
	tokenInterval = 20 * time.Millisecond
)

var (
	errCancel = errors.New("the engine did not take the cancel")
)

// fakeEngine holds streams until they are cancelled. It crashes when the channel crashed is closed.
type fakeEngine struct {
	mu           sync.Mutex
	streams      map[string]int
	prefills     int
	orders       []port.EngineOrder
	load         port.EngineLoad
	crashed      chan struct{}
	stallsImport bool
	unresponsive bool
	// failsCancel makes Cancel fail without an effect.
	failsCancel bool
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{streams: make(map[string]int), crashed: make(chan struct{})}
}

func (f *fakeEngine) lostError() error {
	return &port.EngineError{Fault: port.EngineLost, MayHaveStarted: true, Message: "reset"}
}

func (f *fakeEngine) Prefill(ctx context.Context, _ port.PrefillWork) (port.PrefillResult, error) {
	f.mu.Lock()
	f.prefills++
	f.mu.Unlock()
	select {
	case <-time.After(tokenInterval):
		return port.PrefillResult{KVHandle: "kv-1", PromptTokens: 10}, nil
	case <-f.crashed:
		return port.PrefillResult{}, f.lostError()
	case <-ctx.Done():
		return port.PrefillResult{}, ctx.Err()
	}
}

func (f *fakeEngine) Import(ctx context.Context, w port.ImportWork) iter.Seq2[port.ImportProgress, error] {
	return func(yield func(port.ImportProgress, error) bool) {
		f.mu.Lock()
		f.streams[w.StreamID] = 1
		f.mu.Unlock()
		if f.stallsImport {
			<-ctx.Done()
			yield(port.ImportProgress{}, ctx.Err())
			return
		}
		yield(port.ImportProgress{Done: true}, nil)
	}
}

func (f *fakeEngine) Decode(ctx context.Context, w port.DecodeWork) iter.Seq2[port.EngineToken, error] {
	return func(yield func(port.EngineToken, error) bool) {
		for offset := w.Offset; ; offset++ {
			select {
			case <-time.After(tokenInterval):
			case <-f.crashed:
				yield(port.EngineToken{}, f.lostError())
				return
			case <-ctx.Done():
				yield(port.EngineToken{}, ctx.Err())
				return
			}
			if !yield(port.EngineToken{Offset: offset, Text: "w "}, nil) {
				return
			}
		}
	}
}

func (f *fakeEngine) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failsCancel {
		return errCancel
	}
	delete(f.streams, id)
	return nil
}

func (f *fakeEngine) Streams(context.Context) ([]port.EngineStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []port.EngineStream
	for id, pieces := range f.streams {
		list = append(list, port.EngineStream{StreamID: id, Pieces: pieces})
	}
	select {
	case <-f.crashed:
		return nil, f.lostError()
	default:
		return list, nil
	}
}

func (f *fakeEngine) Load(ctx context.Context) (port.EngineLoad, error) {
	f.mu.Lock()
	load, unresponsive := f.load, f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return port.EngineLoad{}, f.lostError()
	}
	return load, nil
}

func (f *fakeEngine) setUnresponsive(unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = unresponsive
}

func (f *fakeEngine) Order(_ context.Context, o port.EngineOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	f.load.Role, f.load.Models = o.Role, o.Models
	return nil
}

func (f *fakeEngine) streamCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

func (f *fakeEngine) receivedOrders() []port.EngineOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]port.EngineOrder(nil), f.orders...)
}

// testbed is a controller with a fake engine. Its configuration gives the engine one role.
type testbed struct {
	engine     *fakeEngine
	store      *configuration.Store
	vms        *vm.Table
	controller *Controller
}

func newTestbed(role configuration.Role, options ...Option) *testbed {
	b := &testbed{engine: newFakeEngine(), store: configuration.NewStore(), vms: vm.NewTable()}
	b.publish(1, func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = string(role) })
	settings := Settings{Upstream: "u1", UpstreamAddress: "10.0.0.1:1", VM: "vm1", Started: time.Now()}
	b.controller = NewController(settings, b.engine, b.store, b.vms, rand.New(rand.NewPCG(1, 1)), options...)
	return b
}

// publish puts a changed configuration in force under a revision.
func (b *testbed) publish(revision int64, change func(*configuration.Configuration)) {
	c := &configuration.Configuration{
		Revision:  revision,
		Upstreams: []configuration.Upstream{{Name: "u1", Kind: configuration.KindEngine, VM: "vm1", Labels: label.Labels{}}},
		Pools: []configuration.Pool{
			{Name: "p", Role: configuration.RolePrefill, Selector: "role=prefill"},
			{Name: "d", Role: configuration.RoleDecode, Selector: "role=decode"},
		},
		Rules: []configuration.Rule{{Name: "r", Model: testModel, PrefillPool: "p", DecodePool: "d"}},
	}
	change(c)
	index, err := configuration.NewIndex(c)
	if err != nil {
		panic(err)
	}
	b.store.Put(&configuration.Snapshot{Revision: revision, Index: index})
}

// run runs the controller and returns a function that stops it.
func (b *testbed) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		b.controller.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func reservation(key string, promptTokens int) port.Reservation {
	return port.Reservation{
		Attempt: port.Attempt{KeyDigest: key, Number: 1}, Keeper: testKeeper, Model: testModel,
		Fingerprint: "f-" + key, PromptTokens: promptTokens, MaxOutputTokens: 10, Hold: 4 * time.Second,
	}
}

func decodeRequest(r port.Reservation) port.Decode {
	return port.Decode{Attempt: r.Attempt, Keeper: r.Keeper, Model: r.Model, Fingerprint: r.Fingerprint, KV: port.KV{PromptTokens: r.PromptTokens}}
}

package engine

import (
	"context"
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
	testModel  = "care"
	testKeeper = "entry-1@1"
	tokenTime  = 20 * time.Millisecond
)

// fakeEngine holds streams until they are cancelled, and dies on request.
type fakeEngine struct {
	mu       sync.Mutex
	streams  map[string]int
	prefills int
	orders   []port.EngineOrder
	load     port.EngineLoad
	dead     chan struct{}
	stalls   bool
	silent   bool
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{streams: make(map[string]int), dead: make(chan struct{})}
}

func (f *fakeEngine) lost() error {
	return &port.EngineError{Fault: port.EngineLost, MayHaveStarted: true, Message: "reset"}
}

func (f *fakeEngine) Prefill(ctx context.Context, _ port.PrefillWork) (port.PrefillResult, error) {
	f.mu.Lock()
	f.prefills++
	f.mu.Unlock()
	select {
	case <-time.After(tokenTime):
		return port.PrefillResult{KVHandle: "kv-1", PromptTokens: 10}, nil
	case <-f.dead:
		return port.PrefillResult{}, f.lost()
	case <-ctx.Done():
		return port.PrefillResult{}, ctx.Err()
	}
}

func (f *fakeEngine) Import(ctx context.Context, w port.ImportWork) iter.Seq2[port.ImportProgress, error] {
	return func(yield func(port.ImportProgress, error) bool) {
		f.mu.Lock()
		f.streams[w.StreamID] = 1
		f.mu.Unlock()
		if f.stalls {
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
			case <-time.After(tokenTime):
			case <-f.dead:
				yield(port.EngineToken{}, f.lost())
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
	case <-f.dead:
		return nil, f.lost()
	default:
		return list, nil
	}
}

func (f *fakeEngine) Load(ctx context.Context) (port.EngineLoad, error) {
	f.mu.Lock()
	load, silent := f.load, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return port.EngineLoad{}, f.lost()
	}
	return load, nil
}

func (f *fakeEngine) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fakeEngine) Order(_ context.Context, o port.EngineOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	f.load.Role, f.load.Models = o.Role, o.Models
	return nil
}

func (f *fakeEngine) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

func (f *fakeEngine) ordered() []port.EngineOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]port.EngineOrder(nil), f.orders...)
}

// bench is a controller on a fake engine that serves both roles unless labelled otherwise.
type bench struct {
	engine     *fakeEngine
	store      *configuration.Store
	vms        *vm.Table
	controller *Controller
}

func newBench(role configuration.Role, options ...Option) *bench {
	b := &bench{engine: newFakeEngine(), store: configuration.NewStore(), vms: vm.NewTable()}
	b.publish(1, func(c *configuration.Configuration) { c.Upstreams[0].Labels["role"] = string(role) })
	settings := Settings{Upstream: "u1", UpstreamAddress: "10.0.0.1:1", VM: "vm1", Started: time.Now()}
	b.controller = NewController(settings, b.engine, b.store, b.vms, rand.New(rand.NewPCG(1, 1)), options...)
	return b
}

func (b *bench) publish(revision int64, change func(*configuration.Configuration)) {
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

// run runs the controller and returns what stops it.
func (b *bench) run() (stop func()) {
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

func decodeOf(r port.Reservation) port.Decode {
	return port.Decode{Attempt: r.Attempt, Keeper: r.Keeper, Model: r.Model, Fingerprint: r.Fingerprint, KV: port.KV{PromptTokens: r.PromptTokens}}
}

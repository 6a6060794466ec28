package subscription

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/vm"
)

const (
	// bootstrapPeers is the number of peers that a fresh process asks.
	bootstrapPeers = 8
)

type (
	// gathering collects the answers to a fresh process.
	gathering struct {
		mu         sync.Mutex
		candidates []*candidate
		answers    int
	}
)

// bootstrap repeats until a configuration is in force: the highest revision among the
// platform's and the peers', so that a stale platform can't take a restarted process back.
func (r *Reader) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		if (r.bootstrapVMs(ctx) && r.bootstrapOnce(ctx)) || r.store.Current() != nil {
			r.confirm()
			close(r.ready)
			return
		}
		_ = pause(ctx, r.jittered(r.options.retry))
	}
}

// bootstrapVMs reads the VM list, and tells whether peers are known or there is no list.
// Without that the platform's configuration can't be compared.
func (r *Reader) bootstrapVMs(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.bootstrapWait)
	defer cancel()
	r.budget.charge()
	content, err := r.platform.VMs(ctx, r.View().VMsVersion, 0)
	r.observePlatform(err)
	if err == nil && content != nil {
		r.takeVMs(content)
	}
	return err == nil || r.View().VMsVersion > 0 || len(r.options.seeds) > 0
}

func (r *Reader) bootstrapOnce(ctx context.Context) bool {
	addresses := r.bootstrapAddresses()
	g := r.gather(ctx, addresses)
	slices.SortStableFunc(g.candidates, func(a, b *candidate) int {
		if a.revision != b.revision {
			return cmp.Compare(b.revision, a.revision)
		}
		return -cmp.Compare(a.from, b.from)
	})
	for _, c := range g.candidates {
		// A peer that went on meanwhile doesn't have the parts any more and is asked again.
		if !r.consider(ctx, c) && c.from != "" {
			return false
		}
	}
	if r.store.Current() == nil {
		return false
	}
	r.log.Info(event.FirstConfiguration, "asked_peers", len(addresses), "answers", g.answers,
		"revision", r.View().Revision)
	return true
}

// gather asks the platform and the peers at once.
func (r *Reader) gather(ctx context.Context, addresses []string) *gathering {
	ctx, cancel := context.WithTimeout(ctx, r.options.bootstrapWait)
	defer cancel()
	g := &gathering{}
	var wg sync.WaitGroup
	wg.Go(func() {
		r.budget.charge()
		content, err := r.platform.Manifest(ctx, 0, 0)
		r.observePlatform(err)
		g.add(content, "", err)
	})
	for _, address := range addresses {
		wg.Go(func() {
			u, err := r.peers.Watch(ctx, address, port.View{}, 0)
			if err == nil && len(u.VMs) > 0 {
				r.takeVMs(u.VMs)
			}
			g.add(u.Manifest, address, err)
		})
	}
	wg.Wait()
	return g
}

func (g *gathering) add(manifest []byte, from string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		return
	}
	g.answers++
	if len(manifest) > 0 {
		g.candidates = append(g.candidates, newCandidate(manifest, from))
	}
}

// bootstrapAddresses returns the seeds, the holders of the own data centre, and random
// other processes.
func (r *Reader) bootstrapAddresses() []string {
	if r.options.platformOnly {
		return nil
	}
	t := r.topology()
	addresses := slices.Concat(r.options.seeds, t.near)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.random.Perm(len(t.list.VMs)) {
		v := t.list.VMs[n]
		if len(addresses) >= bootstrapPeers {
			break
		}
		if v.Name != r.vmName && v.State == vm.Live && v.FleetAddress != "" && !slices.Contains(addresses, v.FleetAddress) {
			addresses = append(addresses, v.FleetAddress)
		}
	}
	return addresses
}

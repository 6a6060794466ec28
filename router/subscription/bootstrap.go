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
	// bootstrapPeers is the number of peers that a starting process asks, unless there are more seeds and holders.
	bootstrapPeers = 8
)

type (
	// bootstrapAnswers collects the answers of the platform and the peers to a starting process.
	bootstrapAnswers struct {
		mu         sync.Mutex
		candidates []*candidate
		// count is the number of answers, those without a manifest included.
		count int
	}
)

// bootstrap brings the first configuration into force: the highest revision that the platform and the peers report.
// Without the peers, a stale replica of the platform could revert a restarted process to an earlier revision.
// bootstrap retries until a configuration is in force, which may also be one that pullPendingViews has pulled, or the
// context ends.
func (r *Reader) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		if (r.bootstrapVMs(ctx) && r.bootstrapOnce(ctx)) || r.store.Current() != nil {
			r.recordAnswer()
			close(r.ready)
			return
		}
		_ = pause(ctx, r.jittered(r.options.retryPause))
	}
}

// bootstrapVMs reads the VM list from the platform. It returns false if the read failed and the process has neither a
// VM list nor seeds: without peers, the platform's configuration cannot be compared with theirs.
func (r *Reader) bootstrapVMs(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.bootstrapTimeout)
	defer cancel()
	r.budget.countRead()
	content, err := r.platform.VMs(ctx, r.View().VMsVersion, 0)
	r.observePlatform(err)
	if err == nil && content != nil {
		r.installVMs(content)
	}
	return err == nil || r.View().VMsVersion > 0 || len(r.options.seeds) > 0
}

// bootstrapOnce asks the platform and the peers once and evaluates their manifests, highest revision first. It returns
// false if no configuration is in force then, or if a peer's manifest has to be tried again.
func (r *Reader) bootstrapOnce(ctx context.Context) bool {
	addresses := r.bootstrapAddresses()
	answers := r.askAll(ctx, addresses)
	slices.SortStableFunc(answers.candidates, func(a, b *candidate) int {
		if a.revision != b.revision {
			return cmp.Compare(b.revision, a.revision)
		}
		return -cmp.Compare(a.from, b.from)
	})
	for _, c := range answers.candidates {
		// A peer that has installed a newer revision meanwhile no longer serves these parts and is asked again.
		if !r.evaluate(ctx, c) && c.from != "" {
			return false
		}
	}
	if r.store.Current() == nil {
		return false
	}
	r.log.Info(event.FirstConfiguration, "asked_peers", len(addresses), "answers", answers.count,
		"revision", r.View().Revision)
	return true
}

// askAll asks the platform and the peers concurrently and returns their answers within the bootstrap timeout.
func (r *Reader) askAll(ctx context.Context, addresses []string) *bootstrapAnswers {
	ctx, cancel := context.WithTimeout(ctx, r.options.bootstrapTimeout)
	defer cancel()
	answers := &bootstrapAnswers{}
	var wg sync.WaitGroup
	wg.Go(func() {
		r.budget.countRead()
		content, err := r.platform.Manifest(ctx, 0, 0)
		r.observePlatform(err)
		answers.add(content, "", err)
	})
	for _, address := range addresses {
		wg.Go(func() {
			u, err := r.peers.Watch(ctx, address, port.View{}, 0)
			if err == nil && len(u.VMs) > 0 {
				r.installVMs(u.VMs)
			}
			answers.add(u.Manifest, address, err)
		})
	}
	wg.Wait()
	return answers
}

func (a *bootstrapAnswers) add(manifest []byte, from string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		return
	}
	a.count++
	if len(manifest) > 0 {
		a.candidates = append(a.candidates, newCandidate(manifest, from))
	}
}

// bootstrapAddresses returns the fleet addresses of the seeds and of the holders of the own data centre, and adds
// random other processes up to bootstrapPeers addresses.
func (r *Reader) bootstrapAddresses() []string {
	if r.options.platformOnly {
		return nil
	}
	t := r.topology()
	addresses := slices.Concat(r.options.seeds, t.localHolders)
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

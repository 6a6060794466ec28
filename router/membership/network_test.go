package membership_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/membership"
)

type (
	// network connects the entries of a test. Exchanges with partitioned or stopped entries time out.
	network struct {
		mu          sync.Mutex
		seeds       []string
		running     map[string]*process
		partitioned map[string]bool
		starts      int64
		// largest is the largest number of members that one exchange carried.
		largest int
	}

	process struct {
		*membership.Group
		stop context.CancelFunc
	}

	// link connects one entry to the network. It implements membership.Peers.
	link struct {
		*network
		from string
	}
)

func newNetwork(seeds ...string) *network {
	return &network{seeds: seeds, running: make(map[string]*process), partitioned: make(map[string]bool)}
}

func address(i int) string {
	return fmt.Sprintf("10.1.0.%d:8144", i)
}

// start runs an entry, which may have been killed before.
func (n *network) start(ctx context.Context, at string, opts ...membership.Option) *process {
	ctx, stop := context.WithCancel(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	opts = append([]membership.Option{membership.WithAssumedEntries(25), membership.WithIncarnation(n.starts)}, opts...)
	p := &process{Group: membership.NewGroup(at, n.seeds, link{network: n, from: at}, event.Discard(), opts...), stop: stop}
	n.running[at] = p
	go p.Run(ctx)
	return p
}

func (n *network) kill(at string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, found := n.running[at]; found {
		p.stop()
		delete(n.running, at)
	}
}

// setPartitioned separates an entry from all others, or connects it again.
func (n *network) setPartitioned(at string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[at] = partitioned
}

func (n *network) alive() []*process {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*process
	for _, p := range n.running {
		list = append(list, p)
	}
	return list
}

// maxExchangeSize returns the largest number of members that one exchange carried.
func (n *network) maxExchangeSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largest
}

// Exchange implements membership.Peers.
func (l link) Exchange(ctx context.Context, to string, update membership.Update) (membership.Update, error) {
	l.mu.Lock()
	p, found := l.running[to]
	partitioned := l.partitioned[l.from] || l.partitioned[to]
	l.largest = max(l.largest, len(update.Members))
	l.mu.Unlock()
	if !found || partitioned {
		// The connection is not refused, so the exchange ends with its timeout.
		<-ctx.Done()
		return membership.Update{}, errors.New("no answer")
	}
	return p.Exchange(update), nil
}

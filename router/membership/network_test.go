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
	// network joins the entries of a test; exchanges across a cut and with dead entries fail.
	network struct {
		mu      sync.Mutex
		seeds   []string
		running map[string]*process
		cut     map[string]bool
		starts  int64
		// largest is the largest number of members that one exchange carried.
		largest int
	}

	process struct {
		*membership.Group
		stop context.CancelFunc
	}

	// link is one entry's way into the network.
	link struct {
		*network
		from string
	}
)

func newNetwork(seeds ...string) *network {
	return &network{seeds: seeds, running: make(map[string]*process), cut: make(map[string]bool)}
}

func address(i int) string {
	return fmt.Sprintf("10.1.0.%d:8144", i)
}

// start runs an entry, again after a kill.
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

// setCut separates an entry from all others, or joins it again.
func (n *network) setCut(at string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[at] = cut
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

// most returns the largest number of members that one exchange carried.
func (n *network) most() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largest
}

// Exchange implements membership.Peers.
func (l link) Exchange(ctx context.Context, to string, news membership.Update) (membership.Update, error) {
	l.mu.Lock()
	p, found := l.running[to]
	cut := l.cut[l.from] || l.cut[to]
	l.largest = max(l.largest, len(news.Members))
	l.mu.Unlock()
	if !found || cut {
		// Nobody refuses the connection.
		<-ctx.Done()
		return membership.Update{}, errors.New("no answer")
	}
	return p.Exchange(news), nil
}

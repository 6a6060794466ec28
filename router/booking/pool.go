package booking

import (
	"slices"
	"time"
)

const (
	// maxEpochs bounds the layouts that a pool remembers.
	maxEpochs = 16
)

type (
	// pool is the history of one pool's layouts as this sidecar saw them.
	pool struct {
		epochs []*epoch
		// needs are the revisions that other VMs must have reached before keys may run here.
		needs map[string]int64
	}

	// epoch is a row of revisions with one layout.
	epoch struct {
		layout   *Layout
		revision int64
		// contiguous tells that no revision was missed since the epoch before.
		contiguous bool
		// settled is when no other sidecar could run the keys any more; zero until then.
		settled time.Time
		// handed is since when the hand-overs of earlier homes are complete, by upstream.
		handed map[string]time.Time
	}
)

func newPool() *pool {
	return &pool{needs: make(map[string]int64)}
}

// current returns the newest epoch.
func (p *pool) current() *epoch {
	return p.epochs[len(p.epochs)-1]
}

// adopt takes the layout of a revision, and tells whether the keys' homes may have changed.
func (p *pool) adopt(l *Layout, revision int64, contiguous bool) bool {
	if contiguous && len(p.epochs) > 0 && p.current().layout.Equal(l) {
		return false
	}
	e := &epoch{layout: l, revision: revision, handed: make(map[string]time.Time)}
	e.contiguous = contiguous && len(p.epochs) > 0 && sameServices(p.current().layout, l)
	if e.contiguous {
		p.needMembers(p.current().layout, revision)
	}
	p.epochs = append(p.epochs, e)
	if len(p.epochs) > maxEpochs {
		p.epochs = p.epochs[1:]
		p.epochs[0].contiguous = false
	}
	return true
}

// needMembers demands a revision from the members of a layout.
func (p *pool) needMembers(l *Layout, revision int64) {
	for _, m := range l.Members {
		p.needs[m.VM] = revision
	}
}

// since returns the time from which this member's records cover a key.
func (p *pool) since(key string, self Member) time.Time {
	i := len(p.epochs) - 1
	for i > 0 && p.epochs[i].contiguous && p.homedAt(i-1, key, self) {
		i--
	}
	e := p.epochs[i]
	if i == 0 || !e.contiguous {
		return e.settled
	}
	before, found := p.epochs[i-1].layout.Home(key)
	if !found {
		return e.settled
	}
	if handed, found := e.handed[before.Upstream]; found {
		return handed
	}
	return e.settled
}

// kept returns the time from which this member's records cover all keys that it was
// the home of before the newest epoch, or false when it never settled.
func (p *pool) kept(self Member) (time.Time, bool) {
	i := len(p.epochs) - 2
	if i < 0 || !p.current().contiguous || p.epochs[i].settled.IsZero() {
		return time.Time{}, false
	}
	for i > 0 && p.epochs[i].contiguous && p.onlyAdded(i, self) {
		i--
	}
	return p.epochs[i].settled, true
}

// homedAt tells whether a member was the settled home of a key in an epoch.
func (p *pool) homedAt(i int, key string, self Member) bool {
	if p.epochs[i].settled.IsZero() {
		return false
	}
	m, found := p.epochs[i].layout.Home(key)
	return found && m.Is(self)
}

// onlyAdded tells whether an epoch kept all members of the one before, self among them.
func (p *pool) onlyAdded(i int, self Member) bool {
	if p.epochs[i-1].settled.IsZero() {
		return false
	}
	now := make(map[Member]bool)
	for _, m := range p.epochs[i].layout.Members {
		now[m] = true
	}
	found := false
	for _, m := range p.epochs[i-1].layout.Members {
		if !now[m] {
			return false
		}
		found = found || m.Is(self)
	}
	return found
}

func sameServices(a, b *Layout) bool {
	return slices.Equal(a.Services, b.Services)
}

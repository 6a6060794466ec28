package booking

import (
	"slices"
	"time"
)

const (
	// maxEpochs is the maximum number of epochs in the history of a pool.
	maxEpochs = 16
)

type (
	// pool is the history of one pool's layouts as this sidecar adopted them.
	pool struct {
		epochs []*epoch
		// requiredRevisions maps a VM to the revision that it must have adopted before keys may run here.
		requiredRevisions map[string]int64
	}

	// epoch is a range of consecutive revisions with the same layout.
	epoch struct {
		layout *Layout
		// revision is the first revision of the epoch.
		revision int64
		// contiguous reports that no revision was missed since the previous epoch and that
		// both epochs have the same services.
		contiguous bool
		// settled is the time from which no other sidecar can run the keys, or zero while one may.
		settled time.Time
		// handedOverSince maps the upstream of an earlier home to the key creation time from
		// which its hand-over is complete.
		handedOverSince map[string]time.Time
	}
)

func newPool() *pool {
	return &pool{requiredRevisions: make(map[string]int64)}
}

// current returns the newest epoch.
func (p *pool) current() *epoch {
	return p.epochs[len(p.epochs)-1]
}

// adopt records the layout of a revision. It returns true if it began a new epoch, in which
// the homes of keys may have changed.
func (p *pool) adopt(l *Layout, revision int64, contiguous bool) bool {
	if contiguous && len(p.epochs) > 0 && p.current().layout.Equal(l) {
		return false
	}
	e := &epoch{layout: l, revision: revision, handedOverSince: make(map[string]time.Time)}
	e.contiguous = contiguous && len(p.epochs) > 0 && sameServices(p.current().layout, l)
	if e.contiguous {
		p.requireMembers(p.current().layout, revision)
	}
	p.epochs = append(p.epochs, e)
	if len(p.epochs) > maxEpochs {
		p.epochs = p.epochs[1:]
		p.epochs[0].contiguous = false
	}
	return true
}

// requireMembers requires a revision from the members of a layout.
func (p *pool) requireMembers(l *Layout, revision int64) {
	for _, m := range l.Members {
		p.requiredRevisions[m.VM] = revision
	}
}

// coveredSince returns the key creation time from which this member's records cover a key.
func (p *pool) coveredSince(key string, self Member) time.Time {
	i := len(p.epochs) - 1
	for i > 0 && p.epochs[i].contiguous && p.wasSettledHome(i-1, key, self) {
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
	if handed, found := e.handedOverSince[before.Upstream]; found {
		return handed
	}
	return e.settled
}

// previousCoverage returns the key creation time from which this member's records cover all
// keys whose home it was before the newest epoch. It returns false if the previous epoch
// never settled or the newest one is not contiguous.
func (p *pool) previousCoverage(self Member) (time.Time, bool) {
	i := len(p.epochs) - 2
	if i < 0 || !p.current().contiguous || p.epochs[i].settled.IsZero() {
		return time.Time{}, false
	}
	for i > 0 && p.epochs[i].contiguous && p.onlyAddedMembers(i, self) {
		i--
	}
	return p.epochs[i].settled, true
}

// wasSettledHome reports whether epoch i settled and a member was the home of a key in it.
func (p *pool) wasSettledHome(i int, key string, self Member) bool {
	if p.epochs[i].settled.IsZero() {
		return false
	}
	m, found := p.epochs[i].layout.Home(key)
	return found && m.Is(self)
}

// onlyAddedMembers reports whether epoch i contains all members of the previous epoch, which
// settled and had self as a member.
func (p *pool) onlyAddedMembers(i int, self Member) bool {
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

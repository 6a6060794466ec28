package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/event"
)

const (
	// acquireTimeout bounds one attempt to acquire requests from the owner of a quota. Entries are in one region and
	// answer within a few milliseconds.
	acquireTimeout = 100 * time.Millisecond
	// ownerPause is how long an entry uses its own share of a quota after the owner did not answer.
	ownerPause = 500 * time.Millisecond
	// batchTime is the time whose requests are acquired at once, and after which acquired requests expire.
	batchTime = 200 * time.Millisecond
	// partitionFactor scales the part of a limit that the owner grants when some members are silent: they may be
	// partitioned from it and have an owner of their own. Two sides together then grant at most that much of the limit.
	partitionFactor = 1.4

	// Granted means that the owner granted a request.
	Granted Outcome = "granted"
	// Refused means that the limit allows no request now.
	Refused Outcome = "refused"
	// ShareGranted means that a request was taken from this entry's own share, as the owner did not answer.
	ShareGranted Outcome = "share_granted"
	// ShareRefused means that this entry's own share allows no request now.
	ShareRefused Outcome = "share_refused"
)

var (
	errNoOwner   = eris.New("no other entry is known")
	errNoAnswer  = eris.New("the entry is not the owner and names none")
	errTwoOwners = eris.New("the entries disagree about the owner")
)

type (
	// Request asks the owner of a quota for requests to an upstream.
	Request struct {
		// Entry is the address of the asking entry.
		Entry string
		// Limit is what the asking entry knows of the upstream's limit.
		Limit Limit
		// Count is the number of requests that the entry wants to send.
		Count int
	}

	// Grant is the answer to a request.
	Grant struct {
		// Count is the number of requests that the entry may send within batchTime.
		Count int
		// RetryAfter is when to ask again if Count is zero.
		RetryAfter time.Duration
		// Owner is the address of the entry to ask if the asked one is not the owner; empty otherwise.
		Owner string
		// Limit is what the asked entry knows of the upstream's limit.
		Limit Limit
	}

	// Peers acquires requests from other entries.
	Peers interface {
		Acquire(ctx context.Context, address string, r Request) (Grant, error)
	}

	// Members knows the entries of the fleet.
	Members interface {
		// Owner returns the address of the entry that owns the quota of a name, or the empty string if this entry knows
		// no other and can't tell whether there are any.
		Owner(name string) string
		// LiveCount returns the number of live entries, and KnownCount the number that may be running, this one included.
		LiveCount() int
		KnownCount() int
		// Divisor returns the number of entries among which a quota is divided when its owner can't be asked.
		Divisor() int
	}

	// Outcome is the outcome of a request's attempt to be sent to an upstream with a limit.
	Outcome string

	// Decision is whether a request may be sent to an upstream: Allowed or Denied.
	//
	//sumtype:decl
	Decision interface{ decision() }

	// Allowed means that the request may be sent. It counts against the limit of the upstream.
	Allowed struct{}

	// Denied means that the upstream's limit leaves no request to this entry for a time.
	Denied struct{ RetryAfter time.Duration }

	// Limiter decides for one entry whether requests may be sent to upstreams with a limit. It answers other entries
	// for the quotas that it owns. It is safe for concurrent use.
	Limiter struct {
		address string
		table   *Table
		members Members
		peers   Peers
		log     event.Log
		observe func(Outcome)
		ledger  *ledger

		mu     sync.Mutex
		random *rand.Rand
		quotas map[string]*quotaState
	}

	// Option configures a limiter.
	Option func(*Limiter)

	// quotaState is what this entry holds of one upstream's quota.
	quotaState struct {
		// acquiring holds a value while a request to the owner is in flight.
		acquiring chan struct{}
		// acquired is the number of acquired requests, which expire.
		acquired int
		expires  time.Time
		// deniedUntil is when the owner may grant again.
		deniedUntil time.Time
		// ownerPauseEnd is until when this entry uses its share. ownerLost is whether the last request to the owner failed.
		ownerPauseEnd time.Time
		ownerLost     bool
		share         bucket
		// demand counts the attempts since demandSince, at most for batchTime.
		demand      int
		demandSince time.Time
	}
)

func (Allowed) decision() {}
func (Denied) decision()  {}

// NewLimiter returns the limiter of the entry at an address.
func NewLimiter(address string, table *Table, members Members, peers Peers, opts ...Option) *Limiter {
	l := &Limiter{
		address: address, table: table, members: members, peers: peers,
		log: event.Discard(), observe: func(Outcome) {},
		ledger: newLedger(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		quotas: make(map[string]*quotaState),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLog sets the log.
func WithLog(log event.Log) Option {
	return func(l *Limiter) { l.log = log }
}

// WithObserver sets the function that receives the outcome of each attempt.
func WithObserver(observe func(Outcome)) Option {
	return func(l *Limiter) { l.observe = observe }
}

// Take decides whether a request may be sent to an upstream now. It may ask the owner of the quota, for acquireTimeout
// at most for each of two entries.
func (l *Limiter) Take(ctx context.Context, upstream string) Decision {
	limit, found := l.table.Limit(upstream)
	if !found || !limit.Stated {
		return Allowed{}
	}
	q := l.quota(upstream)
	if d := l.takeHeld(q, limit, true); d != nil {
		return d
	}
	select {
	case q.acquiring <- struct{}{}:
	case <-ctx.Done():
		return Denied{RetryAfter: batchTime}
	}
	defer func() { <-q.acquiring }()
	// Another request may have asked the owner in the meantime.
	if d := l.takeHeld(q, limit, false); d != nil {
		return d
	}
	grant, err := l.acquire(ctx, Request{Entry: l.address, Limit: limit, Count: l.batch(q)})
	if err != nil && ctx.Err() != nil {
		return Denied{RetryAfter: batchTime}
	}
	return l.applyGrant(q, limit, grant, err)
}

// RetryAfter returns how long no request may be sent to an upstream, as far as this entry knows without asking.
func (l *Limiter) RetryAfter(upstream string) time.Duration {
	limit, found := l.table.Limit(upstream)
	if !found || !limit.Stated {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	q, found := l.quotas[upstream]
	now := time.Now()
	if !found || q.acquired > 0 && now.Before(q.expires) {
		return 0
	}
	return max(0, q.deniedUntil.Sub(now))
}

// Forget removes what the limiter holds of an incarnation that has terminated.
func (l *Limiter) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.quotas, upstream)
}

// Acquire answers another entry.
func (l *Limiter) Acquire(r Request) Grant {
	now := time.Now()
	l.table.Merge([]Limit{r.Limit}, r.Entry, now)
	limit, found := l.table.Limit(r.Limit.Upstream)
	if !found {
		limit = r.Limit
	}
	if !limit.Stated {
		return Grant{Count: r.Count, Limit: limit}
	}
	if owner := l.members.Owner(limit.Upstream); owner != l.address {
		return Grant{Owner: owner, Limit: limit}
	}
	return l.grant(limit, r, now)
}

// grant grants requests of a quota that this entry owns.
func (l *Limiter) grant(limit Limit, r Request, now time.Time) Grant {
	part := min(1, partitionFactor*float64(l.members.LiveCount())/float64(max(1, l.members.KnownCount())))
	granted, retryAfter := l.ledger.grant(limit, part*limit.PerSecond, r.Count, now)
	return Grant{Count: granted, RetryAfter: retryAfter, Limit: limit}
}

// acquire asks the owner of a quota, and once more if another entry knows a different owner.
func (l *Limiter) acquire(ctx context.Context, r Request) (Grant, error) {
	owner := l.members.Owner(r.Limit.Upstream)
	if owner == "" {
		return Grant{}, errNoOwner
	}
	if owner == l.address {
		return l.grant(r.Limit, r, time.Now()), nil
	}
	grant, err := l.ask(ctx, owner, r)
	switch {
	case err != nil || grant.Owner == "":
		return grant, err
	case grant.Owner == l.address:
		return l.grant(r.Limit, r, time.Now()), nil
	}
	grant, err = l.ask(ctx, grant.Owner, r)
	if err == nil && grant.Owner != "" {
		err = errTwoOwners
	}
	return grant, err
}

func (l *Limiter) ask(ctx context.Context, owner string, r Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	grant, err := l.peers.Acquire(ctx, owner, r)
	if err == nil {
		l.table.Merge([]Limit{grant.Limit}, owner, time.Now())
	}
	if err == nil && grant.Count == 0 && grant.RetryAfter <= 0 && grant.Owner == "" {
		err = errNoAnswer
	}
	return grant, err
}

// quota returns what this entry holds of an upstream's quota.
func (l *Limiter) quota(upstream string) *quotaState {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, found := l.quotas[upstream]
	if !found {
		q = &quotaState{acquiring: make(chan struct{}, 1)}
		l.quotas[upstream] = q
	}
	return q
}

// takeHeld decides by what this entry holds of a quota. It returns nil if the owner is to be asked. attempt is whether
// the call is the first one of a request.
func (l *Limiter) takeHeld(q *quotaState, limit Limit, attempt bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if attempt {
		if now.Sub(q.demandSince) > batchTime {
			q.demand, q.demandSince = 0, now
		}
		q.demand++
	}
	d, o := l.decideHeld(q, limit, now)
	if d != nil {
		l.observe(o)
	}
	return d
}

// decideHeld decides by what this entry holds of a quota, and takes it from q. It returns nil if the owner is to be asked.
// The caller holds the lock.
func (l *Limiter) decideHeld(q *quotaState, limit Limit, now time.Time) (Decision, Outcome) {
	switch {
	case q.acquired > 0 && now.Before(q.expires):
		q.acquired--
		return Allowed{}, Granted
	case now.Before(q.ownerPauseEnd):
		return l.decideShare(q, limit, now)
	case now.Before(q.deniedUntil):
		return Denied{RetryAfter: q.deniedUntil.Sub(now)}, Refused
	}
	return nil, ""
}

// Peek returns what Take would decide without asking the owner of the quota; nil if it would ask. It changes nothing.
func (l *Limiter) Peek(upstream string) Decision {
	limit, found := l.table.Limit(upstream)
	if !found || !limit.Stated {
		return Allowed{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	q, found := l.quotas[upstream]
	if !found {
		return nil
	}
	held := *q
	d, _ := l.decideHeld(&held, limit, time.Now())
	return d
}

// batch returns the number of requests to acquire. It is half of those that are expected within batchTime, so that
// hardly any of them expires unused.
func (l *Limiter) batch(q *quotaState) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, q.demand/2)
}

// applyGrant decides by the answer of the owner, or by this entry's share of the quota after a failure.
func (l *Limiter) applyGrant(q *quotaState, limit Limit, grant Grant, err error) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err != nil {
		if !q.ownerLost {
			l.log.Error(err, event.QuotaOwnerLost, "upstream", limit.Upstream, "per_second", limit.PerSecond, "entries", l.members.Divisor())
			// The shares of all entries would otherwise have their first request at the same time.
			q.share = bucket{level: l.random.Float64(), updated: now}
		}
		q.ownerLost, q.ownerPauseEnd = true, now.Add(ownerPause)
		return l.takeShare(q, limit, now)
	}
	if q.ownerLost {
		l.log.Info(event.QuotaOwnerFound, "upstream", limit.Upstream)
	}
	q.ownerLost = false
	if grant.Count > 0 {
		q.acquired, q.expires = grant.Count-1, now.Add(batchTime)
		l.observe(Granted)
		return Allowed{}
	}
	q.deniedUntil = now.Add(grant.RetryAfter)
	l.observe(Refused)
	return Denied{RetryAfter: grant.RetryAfter}
}

// takeShare takes a request of this entry's share of a quota. The caller holds the lock.
func (l *Limiter) takeShare(q *quotaState, limit Limit, now time.Time) Decision {
	d, o := l.decideShare(q, limit, now)
	l.observe(o)
	return d
}

// decideShare decides by this entry's share of a quota, and takes the request from q. The caller holds the lock.
func (l *Limiter) decideShare(q *quotaState, limit Limit, now time.Time) (Decision, Outcome) {
	perSecond := max(limit.PerSecond, minPerSecond) / float64(max(1, l.members.Divisor()))
	q.share.refill(perSecond, 1+perSecond*burstTime.Seconds(), now)
	if q.share.take(1) > 0 {
		return Allowed{}, ShareGranted
	}
	return Denied{RetryAfter: q.share.until(1, perSecond)}, ShareRefused
}

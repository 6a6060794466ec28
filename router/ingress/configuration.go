// Package ingress holds the rules for HTTP requests of callers: which pool serves a path, what may
// be repeated and for how long a caller waits.
package ingress

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Kind says what may be done again with the requests of a route.
	//
	//sumtype:decl
	Kind interface{ kind() }

	// Idempotent requests may run more than once.
	Idempotent struct{}

	// NonIdempotent requests run at most once.
	NonIdempotent struct{}

	// Streaming requests are generations answered by a stream of events. Unless they can be
	// resumed, they run at most once.
	Streaming struct {
		// Resumable streams may go on at another upstream after the last delivered event.
		Resumable bool
		// MaxGap is the longest pause between events of an answer that is on time.
		MaxGap time.Duration
	}

	// Share is a pool's share of a route.
	Share struct {
		Pool   string
		Weight int
	}

	// Route sends the requests of a host and path prefix to pools.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is the longest time that a caller is kept waiting for its whole answer.
		Timeout time.Duration
		// TargetLatency is the latency objective; streams meet it with their first event.
		TargetLatency time.Duration
		// Priority ranks routes; 0 is the most urgent.
		Priority int
		Shares   []Share
		// MaxAttempts is the number of upstreams that one request may be sent to.
		MaxAttempts int
	}

	// EngineLimits describes the model engines of a pool.
	EngineLimits struct {
		// KVTokens is the KV cache memory of an engine, in tokens.
		KVTokens int
		// MaxReservationLife is the longest life of a memory reservation.
		MaxReservationLife time.Duration
		// TokensPerEvent is the number of tokens in one event of a stream.
		TokensPerEvent int
	}

	// Pool describes the upstreams of one service.
	Pool struct {
		Name string
		// Engine is set for pools of model engines.
		Engine *EngineLimits
	}

	// Limits bound what a caller may send, and how long its connection may be idle.
	Limits struct {
		MaxBodyBytes int64
		IdleTimeout  time.Duration
	}

	// Configuration is one version of the rules. It is not changed once it is in force.
	Configuration struct {
		Version int64
		Routes  []Route
		Pools   map[string]Pool
		Limits  Limits
	}
)

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Streaming) kind()     {}

// Repeatable reports whether a request of the kind may run again from its start.
func Repeatable(k Kind) bool {
	switch k.(type) {
	case Idempotent:
		return true
	case NonIdempotent, Streaming:
		return false
	}
	return false
}

// Check returns an error that names the first fault of the configuration.
func (c *Configuration) Check() error {
	for _, r := range c.Routes {
		if err := r.check(); err != nil {
			return eris.Wrapf(err, "route %q", r.Name)
		}
		for _, b := range r.Shares {
			if _, found := c.Pools[b.Pool]; !found {
				return eris.Errorf("route %q: pool %q is not declared", r.Name, b.Pool)
			}
		}
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Kind == nil:
		return eris.New("kind is missing")
	case r.Timeout <= 0:
		return eris.Errorf("timeout %v is not positive", r.Timeout)
	case r.MaxAttempts < 1:
		return eris.Errorf("max attempts %d is below 1", r.MaxAttempts)
	case len(r.Shares) == 0:
		return eris.New("no pool")
	}
	total := 0
	for _, b := range r.Shares {
		if b.Weight < 0 {
			return eris.Errorf("pool %q: weight %d is negative", b.Pool, b.Weight)
		}
		total += b.Weight
	}
	if total == 0 {
		return eris.New("all weights are 0")
	}
	return nil
}

// String returns the route as logs show it.
func (r Route) String() string {
	return fmt.Sprintf("%s%s", r.Host, r.Prefix)
}

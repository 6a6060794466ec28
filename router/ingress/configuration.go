// Package ingress holds the routing configuration for the HTTP requests of callers: the pools that serve each
// path, whether a request may be repeated, and its time-out.
package ingress

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Kind determines whether the requests of a route may be repeated or resumed.
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
		// Resumable streams may be continued at another upstream after the last delivered event.
		Resumable bool
		// MaxGap is the latency target for the pause between two events.
		MaxGap time.Duration
	}

	// Share is the share of a pool in the requests of a route. It is proportional to the weight.
	Share struct {
		Pool   string
		Weight int
	}

	// Route maps the requests of a host and path prefix to pools.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is the maximum time until the caller has received the complete answer.
		Timeout time.Duration
		// TargetLatency is the latency target. For streams it is the target for the first event.
		TargetLatency time.Duration
		// Priority is the priority of the requests. 0 is the most urgent.
		Priority int
		Shares   []Share
		// MaxAttempts is the maximum number of upstreams to which one request is sent.
		MaxAttempts int
		// Public routes need no customer's key.
		Public bool
	}

	// EngineLimits describes the model engines of a pool.
	EngineLimits struct {
		// KVTokens is the KV cache memory of an engine, in tokens.
		KVTokens int
		// MaxReservationLife is the time after which an engine drops a memory reservation.
		MaxReservationLife time.Duration
		// TokensPerEvent is the number of tokens in one event of a stream.
		TokensPerEvent int
		// NoMoves is true if the engines can't copy the memory of running requests to each other.
		NoMoves bool
	}

	// Pool describes the upstreams of one service.
	Pool struct {
		Name string
		// Engine is nil for pools of plain services.
		Engine *EngineLimits
		// MaxConnections is the number of connections that each upstream accepts from all entries together; 0 if it is
		// unknown.
		MaxConnections int
	}

	// Limits are the limits on the requests and connections of callers.
	Limits struct {
		// MaxBodyBytes is the maximum size of a request body.
		MaxBodyBytes int64
		// MaxHeaderBytes is the maximum size of a request's head; 0 sets no limit beyond that of the process.
		MaxHeaderBytes int64
		// HeaderTimeout is the time in which a caller sends the head of a request; 0 selects that of the process.
		HeaderTimeout time.Duration
		// IdleTimeout is the time after which an idle connection is closed.
		IdleTimeout time.Duration
	}

	// Configuration is one version of the routing configuration. It must not be modified once it is in force.
	Configuration struct {
		Version int64
		Routes  []Route
		Pools   map[string]Pool
		Limits  Limits
		// Customers are those whose keys are accepted. Without any, requests need no key.
		Customers []Customer
	}
)

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Streaming) kind()     {}

// Repeatable reports whether a request of the kind may be run again from the start.
func Repeatable(k Kind) bool {
	switch k.(type) {
	case Idempotent:
		return true
	case NonIdempotent, Streaming:
		return false
	}
	return false
}

// Check validates the configuration. It returns an error for the first fault that it finds, or nil.
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
	return checkCustomers(c.Customers)
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

// String returns the host and path prefix of the route, for logs.
func (r Route) String() string {
	return fmt.Sprintf("%s%s", r.Host, r.Prefix)
}

// MinConnections returns the smallest number of connections that an upstream of any pool accepts from all entries
// together, or 0 if none is known.
func (c *Configuration) MinConnections() int {
	least := 0
	for _, p := range c.Pools {
		if p.MaxConnections > 0 && (least == 0 || p.MaxConnections < least) {
			least = p.MaxConnections
		}
	}
	return least
}

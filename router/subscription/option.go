package subscription

import (
	"time"
)

const (
	defaultPlatformWait     = 10 * time.Second
	defaultPeerWait         = 2 * time.Second
	defaultHolderTimeout    = 3 * time.Second
	defaultBootstrapTimeout = time.Second
	defaultRetryPause       = 500 * time.Millisecond

	// answerMargin is the time that an answer may take beyond the requested wait.
	answerMargin = time.Second
	// partTimeout is the timeout of reading one part from one source.
	partTimeout = 3 * time.Second
	// maxPendingViews is the number of peers' views that wait for a pull. Further ones are dropped.
	maxPendingViews = 4
	// maxRejectedDigests is the number of rejected manifests whose digests are kept, so that they are not evaluated again.
	maxRejectedDigests = 64
)

type (
	// Option configures a reader.
	Option func(*options)

	options struct {
		platformWait     time.Duration
		peerWait         time.Duration
		holderTimeout    time.Duration
		bootstrapTimeout time.Duration
		retryPause       time.Duration
		seeds            []string
		platformOnly     bool
	}
)

func defaultOptions() options {
	return options{
		platformWait:     defaultPlatformWait,
		peerWait:         defaultPeerWait,
		holderTimeout:    defaultHolderTimeout,
		bootstrapTimeout: defaultBootstrapTimeout,
		retryPause:       defaultRetryPause,
	}
}

// WithPlatformWait sets how long the platform may hold a watch open without an update.
func WithPlatformWait(d time.Duration) Option {
	return func(o *options) { o.platformWait = d }
}

// WithPeerWait sets how long a peer may hold a watch open without an update.
func WithPeerWait(d time.Duration) Option {
	return func(o *options) { o.peerWait = d }
}

// WithHolderTimeout sets the time without an answer from a holder after which a follower reads the platform.
func WithHolderTimeout(d time.Duration) Option {
	return func(o *options) { o.holderTimeout = d }
}

// WithBootstrapTimeout sets how long a starting process waits for answers of the platform and the peers.
func WithBootstrapTimeout(d time.Duration) Option {
	return func(o *options) { o.bootstrapTimeout = d }
}

// WithRetryPause sets the mean pause before a failed read is repeated.
func WithRetryPause(d time.Duration) Option {
	return func(o *options) { o.retryPause = d }
}

// WithSeeds sets the fleet addresses of peers that a starting process asks in addition to those in the VM list.
func WithSeeds(addresses ...string) Option {
	return func(o *options) { o.seeds = addresses }
}

// WithPlatformOnly makes a starting process use the platform's configuration without asking peers. It is for tests
// only.
func WithPlatformOnly(only bool) Option {
	return func(o *options) { o.platformOnly = only }
}

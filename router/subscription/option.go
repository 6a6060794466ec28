package subscription

import (
	"time"
)

const (
	defaultPlatformWait  = 10 * time.Second
	defaultPeerWait      = 2 * time.Second
	defaultSilence       = 3 * time.Second
	defaultBootstrapWait = time.Second
	defaultRetry         = 500 * time.Millisecond

	// answerMargin is how much longer than the requested wait an answer may take.
	answerMargin = time.Second
	partTimeout  = 3 * time.Second
	offerQueue   = 4
	// refusedMemory is the number of refused manifests that are not looked at again.
	refusedMemory = 64
)

type (
	// Option changes a reader.
	Option func(*options)

	options struct {
		platformWait  time.Duration
		peerWait      time.Duration
		silence       time.Duration
		bootstrapWait time.Duration
		retry         time.Duration
		seeds         []string
		platformOnly  bool
	}
)

func defaultOptions() options {
	return options{
		platformWait:  defaultPlatformWait,
		peerWait:      defaultPeerWait,
		silence:       defaultSilence,
		bootstrapWait: defaultBootstrapWait,
		retry:         defaultRetry,
	}
}

// WithPlatformWait sets how long a watch at the platform waits.
func WithPlatformWait(d time.Duration) Option {
	return func(o *options) { o.platformWait = d }
}

// WithPeerWait sets how long a watch at a peer waits.
func WithPeerWait(d time.Duration) Option {
	return func(o *options) { o.peerWait = d }
}

// WithSilence sets after which time without an answer of a holder the platform is read.
func WithSilence(d time.Duration) Option {
	return func(o *options) { o.silence = d }
}

// WithBootstrapWait sets how long a fresh process waits for the platform and for peers.
func WithBootstrapWait(d time.Duration) Option {
	return func(o *options) { o.bootstrapWait = d }
}

// WithRetry sets the mean pause after a failed read.
func WithRetry(d time.Duration) Option {
	return func(o *options) { o.retry = d }
}

// WithSeeds sets fleet addresses of peers that a fresh process asks besides the listed VMs.
func WithSeeds(addresses ...string) Option {
	return func(o *options) { o.seeds = addresses }
}

// WithPlatformOnly lets a fresh process believe the platform alone. Only tests use it.
func WithPlatformOnly(only bool) Option {
	return func(o *options) { o.platformOnly = only }
}

// Package configuration defines the configuration that operators publish: upstreams, pools, rules, partners and
// limits. It decodes and checks revisions, splits them into parts, indexes them and stores the one in force.
package configuration

import (
	"time"

	"gooseberrypin.example/router/label"
)

const (
	defaultKeyHorizon = 600 * time.Second
	defaultClockSkew  = 2 * time.Second

	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"

	// RolePrefill is the role of pools that compute the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode is the role of pools that generate tokens.
	RoleDecode Role = "decode"
	// RoleService is the role of pools that serve calls to plain services.
	RoleService Role = "service"
)

type (
	// Kind is the kind of server that an upstream is.
	Kind string

	// Role is the work that the members of a pool do.
	Role string

	// Configuration is the complete content of one revision.
	Configuration struct {
		Revision  int64      `json:"revision"`
		Upstreams []Upstream `json:"upstreams"`
		Pools     []Pool     `json:"pools"`
		Rules     []Rule     `json:"rules"`
		Partners  []Partner  `json:"partners"`
		Limits    Limits     `json:"limits"`
	}

	// Upstream is one model engine or plain service, together with its sidecar.
	Upstream struct {
		Name       string `json:"name"`
		Kind       Kind   `json:"kind"`
		VM         string `json:"vm"`
		Region     string `json:"region"`
		DataCentre string `json:"data_centre"`
		// Address is the IP:port of the engine or service itself. Only sidecars connect to it.
		Address string `json:"address"`
		// SidecarAddress is the IP:port at which the fleet reaches the sidecar.
		SidecarAddress string       `json:"sidecar_address"`
		Labels         label.Labels `json:"labels"`
		// Leaving reports whether the upstream is being drained: it receives no new work.
		Leaving bool `json:"leaving"`
		// HeedsFencing reports whether the engine refuses an order with an outdated fencing number.
		HeedsFencing bool `json:"heeds_fencing"`
		// ChecksOrders reports whether the engine authenticates the sender of an order.
		ChecksOrders bool `json:"checks_orders"`
	}

	// Pool is the set of upstreams whose labels match a selector.
	Pool struct {
		Name     string `json:"name"`
		Role     Role   `json:"role"`
		Selector string `json:"selector"`
	}

	// Rule maps either a model or a plain service to pools.
	Rule struct {
		Name string `json:"name"`
		// Model is the model of generations. It is empty in a rule for a service.
		Model       string `json:"model,omitempty"`
		PrefillPool string `json:"prefill_pool,omitempty"`
		DecodePool  string `json:"decode_pool,omitempty"`
		// MaxOutputTokens is the largest number of tokens of one answer.
		MaxOutputTokens int `json:"max_output_tokens,omitempty"`
		// Service is the plain service of calls. It is empty in a rule for a model.
		Service     string `json:"service,omitempty"`
		ServicePool string `json:"service_pool,omitempty"`
		// Repeatable reports whether a call to the service may run more than once.
		Repeatable bool `json:"repeatable,omitempty"`
	}

	// Partner is a customer whose requests share the fleet with those of others.
	Partner struct {
		Name string `json:"name"`
		// CredentialSHA256 contains the SHA-256 of each valid credential, in lower-case hexadecimal.
		CredentialSHA256 []string `json:"credential_sha256"`
		// Weight is the partner's relative share of the capacity under overload. Zero counts as 1.
		Weight float64 `json:"weight,omitempty"`
		// Rules contains the names of the rules that the partner may use. If it is empty, the partner may use all.
		Rules []string `json:"rules,omitempty"`
	}

	// Limits contains settings of the whole system. A zero value selects the default.
	Limits struct {
		FirstTokenMS         int64 `json:"first_token_ms,omitempty"`
		BetweenTokensMS      int64 `json:"between_tokens_ms,omitempty"`
		PieceTokens          int64 `json:"piece_tokens,omitempty"`
		KeyHorizonSeconds    int64 `json:"key_horizon_seconds,omitempty"`
		ClockSkewMS          int64 `json:"clock_skew_ms,omitempty"`
		QuarantineSeconds    int64 `json:"quarantine_seconds,omitempty"`
		PlatformReadsPerS    int64 `json:"platform_reads_per_s,omitempty"`
		WeightLoadsPerMinute int64 `json:"weight_loads_per_minute,omitempty"`
	}
)

// KeyHorizon returns the age from which idempotency keys are refused.
func (l *Limits) KeyHorizon() time.Duration {
	if l.KeyHorizonSeconds > 0 {
		return time.Duration(l.KeyHorizonSeconds) * time.Second
	}
	return defaultKeyHorizon
}

// ClockSkew returns how far a key may be ahead of the clock.
func (l *Limits) ClockSkew() time.Duration {
	if l.ClockSkewMS > 0 {
		return time.Duration(l.ClockSkewMS) * time.Millisecond
	}
	return defaultClockSkew
}

// Package configuration holds what the operators publish: upstreams, pools, rules,
// partners and limits.
package configuration

import (
	"gooseberrypin.example/router/label"
)

const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"

	// RolePrefill pools compute the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode pools generate tokens.
	RoleDecode Role = "decode"
	// RoleService pools run calls.
	RoleService Role = "service"
)

type (
	// Kind tells what an upstream is.
	Kind string

	// Role tells what a pool's members do.
	Role string

	// Configuration is the whole of one revision.
	Configuration struct {
		Revision  int64      `json:"revision"`
		Upstreams []Upstream `json:"upstreams"`
		Pools     []Pool     `json:"pools"`
		Rules     []Rule     `json:"rules"`
		Partners  []Partner  `json:"partners"`
		Limits    Limits     `json:"limits"`
	}

	// Upstream is one server with its sidecar.
	Upstream struct {
		Name       string `json:"name"`
		Kind       Kind   `json:"kind"`
		VM         string `json:"vm"`
		Region     string `json:"region"`
		DataCentre string `json:"data_centre"`
		// Address is the engine's or service's own IP:port, used by sidecars only.
		Address string `json:"address"`
		// SidecarAddress is the sidecar's fleet IP:port.
		SidecarAddress string       `json:"sidecar_address"`
		Labels         label.Labels `json:"labels"`
		// Leaving upstreams get no new work.
		Leaving bool `json:"leaving"`
		// HeedsFencing tells that the engine refuses an order with an old fencing number.
		HeedsFencing bool `json:"heeds_fencing"`
		// ChecksOrders tells that the engine checks who gives it an order.
		ChecksOrders bool `json:"checks_orders"`
	}

	// Pool is a set of upstreams chosen by labels.
	Pool struct {
		Name     string `json:"name"`
		Role     Role   `json:"role"`
		Selector string `json:"selector"`
	}

	// Rule maps a model, or a plain service, to pools.
	Rule struct {
		Name string `json:"name"`
		// Model is set for generations.
		Model       string `json:"model,omitempty"`
		PrefillPool string `json:"prefill_pool,omitempty"`
		DecodePool  string `json:"decode_pool,omitempty"`
		// MaxOutputTokens bounds an answer.
		MaxOutputTokens int `json:"max_output_tokens,omitempty"`
		// Service is set for calls.
		Service     string `json:"service,omitempty"`
		ServicePool string `json:"service_pool,omitempty"`
		// Repeatable tells that a call may run more than once.
		Repeatable bool `json:"repeatable,omitempty"`
	}

	// Partner is a tenant.
	Partner struct {
		Name string `json:"name"`
		// CredentialSHA256 are the digests of the valid credentials, in hexadecimal.
		CredentialSHA256 []string `json:"credential_sha256"`
		// Weight is the partner's relative share under load. Zero counts as 1.
		Weight float64 `json:"weight,omitempty"`
		// Rules are the names of the rules that the partner may use. Empty: all.
		Rules []string `json:"rules,omitempty"`
	}

	// Limits bound the work of the whole system. Zero values take defaults.
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

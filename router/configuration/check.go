package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"gooseberrypin.example/router/label"
)

const (
	// maxNameLength is the length of the longest valid name, in bytes.
	maxNameLength   = 128
	maxOutputTokens = 1 << 20
	maxWeight       = 1e6
	// digestLength is the length of a SHA-256 in hexadecimal, in digits.
	digestLength = 64
	hexDigits    = "0123456789abcdef"
	// maxLimit is the largest valid value of each field of Limits, whatever its unit.
	maxLimit = 1 << 40
)

type (
	// checker collects the faults of one configuration. It checks upstreams, pools, rules and partners in this
	// order, as each kind refers to the ones before it.
	checker struct {
		*faults
		configuration *Configuration
		// upstreams maps the names of the upstreams checked so far to their index.
		upstreams map[string]int
		// addresses maps the addresses found so far to the path of the field that has them.
		addresses map[string]string
		// pools maps the names of the pools checked so far to their role.
		pools map[string]Role
		// rules contains the names of the rules checked so far.
		rules map[string]bool
	}
)

// Check returns all faults of a configuration, or nil if it is valid.
func (c *Configuration) Check() []Fault {
	f := &faults{}
	c.check(f)
	return f.list
}

func (c *Configuration) check(f *faults) {
	k := &checker{
		faults:        f,
		configuration: c,
		upstreams:     make(map[string]int, len(c.Upstreams)),
		addresses:     make(map[string]string, 2*len(c.Upstreams)),
		pools:         make(map[string]Role, len(c.Pools)),
		rules:         make(map[string]bool, len(c.Rules)),
	}
	k.checkUpstreams()
	k.checkPools()
	k.checkRules()
	k.checkPartners()
	k.checkLimits()
}

func (k *checker) checkUpstreams() {
	for i := range k.configuration.Upstreams {
		u := &k.configuration.Upstreams[i]
		path := fmt.Sprintf("upstreams[%d]", i)
		k.checkName(path+".name", u.Name)
		if _, found := k.upstreams[u.Name]; found {
			k.addf(path+".name", "duplicate name %q", u.Name)
		}
		k.upstreams[u.Name] = i
		if u.Kind != KindEngine && u.Kind != KindService {
			k.addf(path+".kind", "%q is not engine or service", u.Kind)
		}
		k.checkName(path+".vm", u.VM)
		k.checkName(path+".region", u.Region)
		k.checkName(path+".data_centre", u.DataCentre)
		k.checkAddress(path+".address", u.Address)
		k.checkAddress(path+".sidecar_address", u.SidecarAddress)
		k.checkLabels(path+".labels", u.Labels)
		k.checkEngineOnlyFields(path, u)
	}
}

// checkEngineOnlyFields adds a fault for each field that a service sets although it is for engines only.
func (k *checker) checkEngineOnlyFields(path string, u *Upstream) {
	if u.Kind != KindService {
		return
	}
	if u.HeedsFencing {
		k.addf(path+".heeds_fencing", "is for engines only")
	}
	if u.ChecksOrders {
		k.addf(path+".checks_orders", "is for engines only")
	}
}

func (k *checker) checkLabels(path string, l label.Labels) {
	for _, key := range sortedKeys(l) {
		if !label.ValidWord(key) {
			k.addf(path, "%q is not a label key", key)
		}
		if !label.ValidWord(l[key]) {
			k.addf(path+"."+key, "%q is not a label value", l[key])
		}
	}
}

func (k *checker) checkPartners() {
	names := make(map[string]bool, len(k.configuration.Partners))
	owners := make(map[string]string, len(k.configuration.Partners))
	for i := range k.configuration.Partners {
		p := &k.configuration.Partners[i]
		path := fmt.Sprintf("partners[%d]", i)
		k.checkName(path+".name", p.Name)
		if names[p.Name] {
			k.addf(path+".name", "duplicate name %q", p.Name)
		}
		names[p.Name] = true
		k.checkCredentials(path, p, owners)
		if math.IsNaN(p.Weight) || p.Weight < 0 || p.Weight > maxWeight {
			k.addf(path+".weight", "%v is not within 0 to %v", p.Weight, maxWeight)
		}
		for n, rule := range p.Rules {
			if !k.rules[rule] {
				k.addf(fmt.Sprintf("%s.rules[%d]", path, n), "no rule %q", rule)
			}
		}
	}
}

// checkCredentials checks the digests of one partner's credentials. owners maps the digests found so far to the
// name of their partner.
func (k *checker) checkCredentials(path string, p *Partner, owners map[string]string) {
	if len(p.CredentialSHA256) == 0 {
		k.addf(path+".credential_sha256", "empty")
	}
	for n, digest := range p.CredentialSHA256 {
		field := fmt.Sprintf("%s.credential_sha256[%d]", path, n)
		if !validDigest(digest) {
			k.addf(field, "not a SHA-256 in lower-case hexadecimal")
		}
		if owner, found := owners[digest]; found {
			k.addf(field, "is already used by partner %q", owner)
		}
		owners[digest] = p.Name
	}
}

func (k *checker) checkLimits() {
	l := &k.configuration.Limits
	k.checkLimit("limits.first_token_ms", l.FirstTokenMS)
	k.checkLimit("limits.between_tokens_ms", l.BetweenTokensMS)
	k.checkLimit("limits.piece_tokens", l.PieceTokens)
	k.checkLimit("limits.key_horizon_seconds", l.KeyHorizonSeconds)
	k.checkLimit("limits.clock_skew_ms", l.ClockSkewMS)
	k.checkLimit("limits.quarantine_seconds", l.QuarantineSeconds)
	k.checkLimit("limits.platform_reads_per_s", l.PlatformReadsPerS)
	k.checkLimit("limits.weight_loads_per_minute", l.WeightLoadsPerMinute)
	if l.ClockSkew() >= l.KeyHorizon() {
		k.addf("limits.clock_skew_ms", "%v is not below the key horizon of %v", l.ClockSkew(), l.KeyHorizon())
	}
}

func (k *checker) checkLimit(path string, value int64) {
	if value < 0 || value > maxLimit {
		k.addf(path, "%d is not within 0 to %d", value, int64(maxLimit))
	}
}

// checkName adds a fault unless value is a valid word of at most maxNameLength bytes.
func (k *checker) checkName(path, value string) {
	if !label.ValidWord(value) || len(value) > maxNameLength {
		k.addf(path, "%q is not a name of 1 to %d letters, digits or any of ._-/", value, maxNameLength)
	}
}

// checkAddress adds a fault unless value is an IP:port that no other address field has.
func (k *checker) checkAddress(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		k.addf(path, "%q is not IP:port", value)
		return
	}
	if other, found := k.addresses[value]; found {
		k.addf(path, "%s is already used by %s", value, other)
	}
	k.addresses[value] = path
}

// validDigest reports whether text is a SHA-256 in lower-case hexadecimal.
func validDigest(text string) bool {
	return len(text) == digestLength && strings.Trim(text, hexDigits) == ""
}

package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"gooseberrypin.example/router/label"
)

const (
	maxNameLength   = 128
	maxOutputTokens = 1 << 20
	maxWeight       = 1e6
	digestLength    = 64
	hexDigits       = "0123456789abcdef"
	// maxLimit bounds each limit, whatever its unit.
	maxLimit = 1 << 40
)

type (
	// checker looks for faults in one configuration.
	checker struct {
		*faults
		c         *Configuration
		upstreams map[string]int
		addresses map[string]string
		pools     map[string]Role
		rules     map[string]bool
	}
)

// Check returns all faults of a configuration.
func (c *Configuration) Check() []Fault {
	f := &faults{}
	c.check(f)
	return f.list
}

func (c *Configuration) check(f *faults) {
	k := &checker{
		faults:    f,
		c:         c,
		upstreams: make(map[string]int, len(c.Upstreams)),
		addresses: make(map[string]string, 2*len(c.Upstreams)),
		pools:     make(map[string]Role, len(c.Pools)),
		rules:     make(map[string]bool, len(c.Rules)),
	}
	k.checkUpstreams()
	k.checkPools()
	k.checkRules()
	k.checkPartners()
	k.checkLimits()
}

func (k *checker) checkUpstreams() {
	for i := range k.c.Upstreams {
		u := &k.c.Upstreams[i]
		path := fmt.Sprintf("upstreams[%d]", i)
		k.word(path+".name", u.Name)
		if _, found := k.upstreams[u.Name]; found {
			k.addf(path+".name", "%q stands twice", u.Name)
		}
		k.upstreams[u.Name] = i
		if u.Kind != KindEngine && u.Kind != KindService {
			k.addf(path+".kind", "%q is not engine or service", u.Kind)
		}
		k.word(path+".vm", u.VM)
		k.word(path+".region", u.Region)
		k.word(path+".data_centre", u.DataCentre)
		k.address(path+".address", u.Address)
		k.address(path+".sidecar_address", u.SidecarAddress)
		k.checkLabels(path+".labels", u.Labels)
		k.checkOrders(path, u)
	}
}

func (k *checker) checkOrders(path string, u *Upstream) {
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
	names := make(map[string]bool, len(k.c.Partners))
	owners := make(map[string]string, len(k.c.Partners))
	for i := range k.c.Partners {
		p := &k.c.Partners[i]
		path := fmt.Sprintf("partners[%d]", i)
		k.word(path+".name", p.Name)
		if names[p.Name] {
			k.addf(path+".name", "%q stands twice", p.Name)
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
			k.addf(field, "is partner %q's as well", owner)
		}
		owners[digest] = p.Name
	}
}

func (k *checker) checkLimits() {
	l := &k.c.Limits
	k.limit("limits.first_token_ms", l.FirstTokenMS)
	k.limit("limits.between_tokens_ms", l.BetweenTokensMS)
	k.limit("limits.piece_tokens", l.PieceTokens)
	k.limit("limits.key_horizon_seconds", l.KeyHorizonSeconds)
	k.limit("limits.clock_skew_ms", l.ClockSkewMS)
	k.limit("limits.quarantine_seconds", l.QuarantineSeconds)
	k.limit("limits.platform_reads_per_s", l.PlatformReadsPerS)
	k.limit("limits.weight_loads_per_minute", l.WeightLoadsPerMinute)
	if l.KeyHorizonSeconds > 0 && l.ClockSkewMS >= l.KeyHorizonSeconds*1000 {
		k.addf("limits.clock_skew_ms", "%d is not below the key horizon of %d s", l.ClockSkewMS, l.KeyHorizonSeconds)
	}
}

func (k *checker) limit(path string, value int64) {
	if value < 0 || value > maxLimit {
		k.addf(path, "%d is not within 0 to %d", value, int64(maxLimit))
	}
}

func (k *checker) word(path, value string) {
	if !label.ValidWord(value) || len(value) > maxNameLength {
		k.addf(path, "%q is not a name of 1 to %d letters, digits or any of ._-/", value, maxNameLength)
	}
}

// address wants IP:port, used by one upstream only.
func (k *checker) address(path, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		k.addf(path, "%q is not IP:port", value)
		return
	}
	if other, found := k.addresses[value]; found {
		k.addf(path, "%s is %s as well", value, other)
	}
	k.addresses[value] = path
}

func validDigest(text string) bool {
	return len(text) == digestLength && strings.Trim(text, hexDigits) == ""
}

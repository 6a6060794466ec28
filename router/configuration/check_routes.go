package configuration

import (
	"fmt"

	"gooseberrypin.example/router/label"
)

// checkPools checks the pools, and that no upstream is in pools of two roles.
func (k *checker) checkPools() {
	first := make([]int, len(k.c.Upstreams))
	for i := range first {
		first[i] = -1
	}
	for i := range k.c.Pools {
		p := &k.c.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		k.word(path+".name", p.Name)
		if _, found := k.pools[p.Name]; found {
			k.addf(path+".name", "%q stands twice", p.Name)
		}
		k.pools[p.Name] = p.Role
		if p.Role != RolePrefill && p.Role != RoleDecode && p.Role != RoleService {
			k.addf(path+".role", "%q is not prefill, decode or service", p.Role)
			continue
		}
		selector, err := label.Parse(p.Selector)
		if err != nil {
			k.addf(path+".selector", "%v", err)
			continue
		}
		k.checkMembers(path, i, selector, first)
	}
}

// checkMembers checks the upstreams that a pool's selector matches. first holds for each
// upstream the first pool that matched it.
func (k *checker) checkMembers(path string, pool int, selector label.Selector, first []int) {
	role := k.c.Pools[pool].Role
	for i := range k.c.Upstreams {
		u := &k.c.Upstreams[i]
		if !selector.Matches(u.Labels) {
			continue
		}
		if (role == RoleService) != (u.Kind == KindService) {
			k.addf(path+".selector", "matches upstream %q, whose kind %q can't serve the role %q", u.Name, u.Kind, role)
			continue
		}
		if first[i] < 0 {
			first[i] = pool
			continue
		}
		if other := &k.c.Pools[first[i]]; other.Role != role {
			k.addf(path+".selector", "matches upstream %q, which pool %q has for the role %q", u.Name, other.Name, other.Role)
		}
	}
}

func (k *checker) checkRules() {
	models := make(map[string]bool)
	services := make(map[string]bool)
	for i := range k.c.Rules {
		r := &k.c.Rules[i]
		path := fmt.Sprintf("rules[%d]", i)
		k.word(path+".name", r.Name)
		if k.rules[r.Name] {
			k.addf(path+".name", "%q stands twice", r.Name)
		}
		k.rules[r.Name] = true
		switch {
		case (r.Model == "") == (r.Service == ""):
			k.addf(path, "want either model or service")
		case r.Model != "":
			k.checkModelRule(path, r, models)
		default:
			k.checkServiceRule(path, r, services)
		}
	}
}

func (k *checker) checkModelRule(path string, r *Rule, models map[string]bool) {
	k.word(path+".model", r.Model)
	if models[r.Model] {
		k.addf(path+".model", "another rule has the model %q", r.Model)
	}
	models[r.Model] = true
	k.poolReference(path+".prefill_pool", r.PrefillPool, RolePrefill)
	k.poolReference(path+".decode_pool", r.DecodePool, RoleDecode)
	if r.MaxOutputTokens < 0 || r.MaxOutputTokens > maxOutputTokens {
		k.addf(path+".max_output_tokens", "%d is not within 0 to %d", r.MaxOutputTokens, maxOutputTokens)
	}
	if r.ServicePool != "" {
		k.addf(path+".service_pool", "is for services only")
	}
	if r.Repeatable {
		k.addf(path+".repeatable", "is for services only")
	}
}

func (k *checker) checkServiceRule(path string, r *Rule, services map[string]bool) {
	k.word(path+".service", r.Service)
	if services[r.Service] {
		k.addf(path+".service", "another rule has the service %q", r.Service)
	}
	services[r.Service] = true
	k.poolReference(path+".service_pool", r.ServicePool, RoleService)
	if r.PrefillPool != "" {
		k.addf(path+".prefill_pool", "is for models only")
	}
	if r.DecodePool != "" {
		k.addf(path+".decode_pool", "is for models only")
	}
	if r.MaxOutputTokens != 0 {
		k.addf(path+".max_output_tokens", "is for models only")
	}
}

func (k *checker) poolReference(path, name string, want Role) {
	role, found := k.pools[name]
	switch {
	case !found:
		k.addf(path, "no pool %q", name)
	case role != want:
		k.addf(path, "pool %q has the role %q, want %q", name, role, want)
	}
}

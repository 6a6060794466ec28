package configuration

import (
	"fmt"

	"gooseberrypin.example/router/label"
)

// checkPools checks the pools, and that all pools of an upstream have the same role.
func (k *checker) checkPools() {
	firstPool := make([]int, len(k.configuration.Upstreams))
	for i := range firstPool {
		firstPool[i] = -1
	}
	for i := range k.configuration.Pools {
		p := &k.configuration.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		k.checkName(path+".name", p.Name)
		if _, found := k.pools[p.Name]; found {
			k.addf(path+".name", "duplicate name %q", p.Name)
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
		k.checkMembers(path, i, selector, firstPool)
	}
}

// checkMembers checks the kind and role of the upstreams that a pool's selector matches. firstPool contains, for
// each upstream, the index of the first pool that matched it, or -1.
func (k *checker) checkMembers(path string, pool int, selector label.Selector, firstPool []int) {
	role := k.configuration.Pools[pool].Role
	for i := range k.configuration.Upstreams {
		u := &k.configuration.Upstreams[i]
		if !selector.Matches(u.Labels) {
			continue
		}
		if (role == RoleService) != (u.Kind == KindService) {
			k.addf(path+".selector", "matches upstream %q, whose kind %q can't serve the role %q", u.Name, u.Kind, role)
			continue
		}
		if firstPool[i] < 0 {
			firstPool[i] = pool
			continue
		}
		if other := &k.configuration.Pools[firstPool[i]]; other.Role != role {
			k.addf(path+".selector", "matches upstream %q, which is in pool %q with the role %q", u.Name, other.Name, other.Role)
		}
	}
}

func (k *checker) checkRules() {
	models := make(map[string]bool)
	services := make(map[string]bool)
	for i := range k.configuration.Rules {
		r := &k.configuration.Rules[i]
		path := fmt.Sprintf("rules[%d]", i)
		k.checkName(path+".name", r.Name)
		if k.rules[r.Name] {
			k.addf(path+".name", "duplicate name %q", r.Name)
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
	k.checkName(path+".model", r.Model)
	if models[r.Model] {
		k.addf(path+".model", "another rule has the model %q", r.Model)
	}
	models[r.Model] = true
	k.checkPoolReference(path+".prefill_pool", r.PrefillPool, RolePrefill)
	k.checkPoolReference(path+".decode_pool", r.DecodePool, RoleDecode)
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
	k.checkName(path+".service", r.Service)
	if services[r.Service] {
		k.addf(path+".service", "another rule has the service %q", r.Service)
	}
	services[r.Service] = true
	k.checkPoolReference(path+".service_pool", r.ServicePool, RoleService)
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

// checkPoolReference adds a fault unless the configuration has a pool of that name with the wanted role.
func (k *checker) checkPoolReference(path, name string, want Role) {
	role, found := k.pools[name]
	switch {
	case !found:
		k.addf(path, "no pool %q", name)
	case role != want:
		k.addf(path, "pool %q has the role %q, want %q", name, role, want)
	}
}

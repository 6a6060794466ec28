package booking

import (
	"slices"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/rendezvous"
)

type (
	// Member is an upstream on a VM. A replaced VM makes another member.
	Member struct {
		Upstream string
		VM       string
		// Address is the sidecar's fleet address.
		Address string
	}

	// Layout says which member is the home of which key of a pool. It never changes.
	Layout struct {
		Members []Member
		// Services are the plain services whose rules name the pool.
		Services []string
		names    []string
	}
)

// NewLayout returns the layout of a pool.
func NewLayout(members []Member, services ...string) *Layout {
	l := &Layout{Members: members, Services: services}
	for _, m := range members {
		l.names = append(l.names, m.Upstream)
	}
	return l
}

// Layouts returns the layouts of all service pools of a configuration.
func Layouts(i *configuration.Index) map[string]*Layout {
	layouts := make(map[string]*Layout)
	for _, p := range i.Configuration().Pools {
		if p.Role == configuration.RoleService {
			layouts[p.Name] = NewLayout(members(i, p.Name), services(i, p.Name)...)
		}
	}
	return layouts
}

// Sidecars returns the members for all service upstreams of a configuration, in pools or not.
func Sidecars(i *configuration.Index) []Member {
	var list []Member
	for n := range i.Configuration().Upstreams {
		u := &i.Configuration().Upstreams[n]
		if u.Kind == configuration.KindService {
			list = append(list, member(u))
		}
	}
	return list
}

// Is tells whether both are the same upstream on the same VM.
func (m Member) Is(o Member) bool {
	return m.Upstream == o.Upstream && m.VM == o.VM
}

// Home returns the member that may run a key, or false when the pool is empty.
func (l *Layout) Home(key string) (Member, bool) {
	return l.find(rendezvous.Winner(key, l.names))
}

// HomeWithout returns the member that follows after another one as the home of a key.
func (l *Layout) HomeWithout(key, upstream string) (Member, bool) {
	ranked := rendezvous.Rank(key, l.names, 2)
	for _, name := range ranked {
		if name != upstream {
			return l.find(name)
		}
	}
	return Member{}, false
}

// Equal tells whether both layouts give each key the same home.
func (l *Layout) Equal(o *Layout) bool {
	return slices.Equal(l.Members, o.Members) && slices.Equal(l.Services, o.Services)
}

func (l *Layout) find(upstream string) (Member, bool) {
	for _, m := range l.Members {
		if m.Upstream == upstream {
			return m, true
		}
	}
	return Member{}, false
}

func members(i *configuration.Index, pool string) []Member {
	var list []Member
	for _, u := range i.Members(pool) {
		if !u.Leaving {
			list = append(list, member(u))
		}
	}
	return list
}

func member(u *configuration.Upstream) Member {
	return Member{Upstream: u.Name, VM: u.VM, Address: u.SidecarAddress}
}

// services lists the rules that name a pool, with their promise on repetition.
func services(i *configuration.Index, pool string) []string {
	var list []string
	for _, r := range i.Configuration().Rules {
		if r.ServicePool != pool {
			continue
		}
		name := r.Service
		if r.Repeatable {
			name += " repeatable"
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

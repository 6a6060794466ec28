package fleet

import (
	"strings"

	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/standin/link"
)

type (
	// processSettings is the content of the settings file of an entry or a sidecar.
	processSettings struct {
		settings.Process
		CallerAddress   string   `json:"caller_address,omitempty"`
		Upstream        string   `json:"upstream,omitempty"`
		UpstreamAddress string   `json:"upstream_address,omitempty"`
		Kind            string   `json:"kind,omitempty"`
		Naive           []string `json:"naive,omitempty"`
	}
)

// settingsOf returns the settings of the entry or sidecar of a node. With links, it also creates the links from
// that process.
func (f *Fleet) settingsOf(n *node) (*processSettings, error) {
	s := &processSettings{
		Process: settings.Process{
			Name:            n.processName(),
			VM:              n.name,
			Region:          Region,
			DataCentre:      n.dataCentre,
			FleetAddress:    n.fleetAddress,
			OperatorAddress: n.operatorAddress,
			PlatformAddress: f.platformAddress,
			PeerAddresses:   f.peerAddresses(n),
			FleetKeys:       []string{fleetKey},
			Seed:            1,
		},
		CallerAddress: n.callerAddress,
		Naive:         f.disabledMechanismsOf(n),
	}
	if !n.isEntry() {
		s.Upstream, s.UpstreamAddress, s.Kind = n.name, n.upstreamAddress, string(n.kind())
	}
	if f.useLinks {
		return s, f.routeThroughLinks(n, s)
	}
	return s, nil
}

// peerAddresses returns the fleet addresses of all entries but n.
func (f *Fleet) peerAddresses(n *node) []string {
	var list []string
	for _, other := range f.nodes {
		if other.isEntry() && other != n {
			list = append(list, other.fleetAddress)
		}
	}
	return list
}

// disabledMechanismsOf returns the mechanisms that WithNaive disables on a node, without the prefix entry. or
// sidecar.
func (f *Fleet) disabledMechanismsOf(n *node) []string {
	prefix := "sidecar."
	if n.isEntry() {
		prefix = "entry."
	}
	var list []string
	for _, mechanism := range f.disabledMechanisms {
		if name, found := strings.CutPrefix(mechanism, prefix); found {
			list = append(list, name)
		}
	}
	return list
}

// routeThroughLinks creates one link for each address that a process dials, and puts the links' addresses into its
// settings.
func (f *Fleet) routeThroughLinks(n *node, s *processSettings) error {
	from := n.processName()
	var err error
	if s.PlatformAddress, err = f.addLink(from, PlatformName, f.platformAddress); err != nil {
		return err
	}
	if !n.isEntry() {
		if s.UpstreamAddress, err = f.addLink(from, n.name, n.upstreamAddress); err != nil {
			return err
		}
	}
	s.DialOverrides = make(map[string]string)
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		if s.DialOverrides[other.fleetAddress], err = f.addLink(from, other.processName(), other.fleetAddress); err != nil {
			return err
		}
	}
	return nil
}

// addLink creates a link between two processes that forwards to the address target. It returns the address to
// dial.
func (f *Fleet) addLink(from, to, target string) (string, error) {
	listener, err := listenOnFreePort(f.host)
	if err != nil {
		return "", err
	}
	l := link.New(listener, target)
	f.links[linkName(from, to)] = l
	f.linksTo[to] = append(f.linksTo[to], l)
	return l.Address(), nil
}

// linkName returns the key of the link that a process dials to reach another one.
func linkName(from, to string) string {
	return from + " " + to
}

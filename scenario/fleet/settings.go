package fleet

import (
	"strings"

	"gooseberrypin.example/router/settings"
	"gooseberrypin.example/standin/link"
)

type (
	// processSettings are the settings of an entry or a sidecar as it reads them.
	processSettings struct {
		settings.Process
		CallerAddress   string   `json:"caller_address,omitempty"`
		Upstream        string   `json:"upstream,omitempty"`
		UpstreamAddress string   `json:"upstream_address,omitempty"`
		Kind            string   `json:"kind,omitempty"`
		Naive           []string `json:"naive,omitempty"`
	}
)

func (f *Fleet) settings(n *node) (*processSettings, error) {
	s := &processSettings{
		Process: settings.Process{
			Name:            n.process(),
			VM:              n.name,
			Region:          Region,
			DataCentre:      n.dataCentre,
			FleetAddress:    n.fleet,
			OperatorAddress: n.operator,
			PlatformAddress: f.platform,
			PeerAddresses:   f.peers(n),
			FleetKeys:       []string{fleetKey},
			Seed:            1,
		},
		CallerAddress: n.caller,
		Naive:         f.naiveOf(n),
	}
	if !n.isEntry() {
		s.Upstream, s.UpstreamAddress, s.Kind = n.name, n.address, string(n.kind())
	}
	if f.linked {
		return s, f.linkProcess(n, s)
	}
	return s, nil
}

// peers returns the fleet addresses of the other entries.
func (f *Fleet) peers(n *node) []string {
	var list []string
	for _, other := range f.nodes {
		if other.isEntry() && other != n {
			list = append(list, other.fleet)
		}
	}
	return list
}

// naiveOf returns the mechanisms that one process is to switch off. They are named
// entry.MECHANISM or sidecar.MECHANISM.
func (f *Fleet) naiveOf(n *node) []string {
	prefix := "sidecar."
	if n.isEntry() {
		prefix = "entry."
	}
	var list []string
	for _, m := range f.naive {
		if name, found := strings.CutPrefix(m, prefix); found {
			list = append(list, name)
		}
	}
	return list
}

// linkProcess routes all that a process dials through links of its own.
func (f *Fleet) linkProcess(n *node, s *processSettings) error {
	from := n.process()
	var err error
	if s.PlatformAddress, err = f.addLink(from, PlatformName, f.platform); err != nil {
		return err
	}
	if !n.isEntry() {
		if s.UpstreamAddress, err = f.addLink(from, n.name, n.address); err != nil {
			return err
		}
	}
	s.DialOverrides = make(map[string]string)
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		if s.DialOverrides[other.fleet], err = f.addLink(from, other.process(), other.fleet); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addLink(from, to, target string) (string, error) {
	listener, err := listenFree(f.host)
	if err != nil {
		return "", err
	}
	l := link.New(listener, target)
	f.links[linkName(from, to)] = l
	f.linksTo[to] = append(f.linksTo[to], l)
	return l.Address(), nil
}

func linkName(from, to string) string {
	return from + " " + to
}

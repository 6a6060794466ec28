package gooseberryctl

import (
	"fmt"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
)

const (
	startRevision     = 1
	enginePort        = 7000
	sidecarPort       = 7100
	outputTokens      = 1024
	pieceTokens       = 4096
	horizonSeconds    = 3600
	skewMS            = 2000
	quarantineSeconds = 600
	platformReadsPerS = 2000
)

type (
	// site is a deployment's region with its data centres.
	site struct {
		region      string
		dataCentres []string
		// network is the first two numbers of its addresses.
		network string
		c       *configuration.Configuration
	}
)

// varal has the care assistant on 9 engines and the booking desk on 3 services.
func varal(credential string) *configuration.Configuration {
	s := newSite("sul", "10.20", "sul-a", "sul-b", "sul-c")
	s.addEngines("care-assistant", 3, 6)
	s.addServices("booking-desk", 3)
	s.addRules("care-assistant", "booking-desk")
	s.addPartner("volunteer-line", credential)
	s.c.Limits.FirstTokenMS = 380
	s.c.Limits.BetweenTokensMS = 37
	return s.c
}

// kalamaki has chart writing on 18 engines and the shop front on 4 services.
func kalamaki(credential string) *configuration.Configuration {
	s := newSite("gr-central", "10.30", "gr-central-a", "gr-central-b", "gr-central-c", "gr-central-d")
	s.addEngines("chart-writing", 6, 12)
	s.addServices("shop-front", 4)
	s.addRules("chart-writing", "shop-front")
	s.addPartner("print-shops", credential)
	s.c.Limits.FirstTokenMS = 380
	s.c.Limits.BetweenTokensMS = 37
	return s.c
}

func newSite(region, network string, dataCentres ...string) *site {
	return &site{region: region, dataCentres: dataCentres, network: network, c: &configuration.Configuration{
		Revision: startRevision,
		Limits: configuration.Limits{
			PieceTokens:       pieceTokens,
			KeyHorizonSeconds: horizonSeconds,
			ClockSkewMS:       skewMS,
			QuarantineSeconds: quarantineSeconds,
			PlatformReadsPerS: platformReadsPerS,
		},
	}}
}

// addEngines adds the prefill and decode engines of a model and their pools.
func (s *site) addEngines(model string, prefill, decode int) {
	for n := range prefill {
		s.addUpstream(configuration.KindEngine, fmt.Sprintf("%s-prefill-%d", model, n+1), label.Labels{"model": model, "role": "prefill"})
	}
	for n := range decode {
		s.addUpstream(configuration.KindEngine, fmt.Sprintf("%s-decode-%d", model, n+1), label.Labels{"model": model, "role": "decode"})
	}
	s.c.Pools = append(s.c.Pools,
		configuration.Pool{Name: model + "-prefill", Role: configuration.RolePrefill, Selector: "model=" + model + ",role=prefill"},
		configuration.Pool{Name: model + "-decode", Role: configuration.RoleDecode, Selector: "model=" + model + ",role=decode"})
}

func (s *site) addServices(service string, count int) {
	for n := range count {
		s.addUpstream(configuration.KindService, fmt.Sprintf("%s-%d", service, n+1), label.Labels{"service": service})
	}
	s.c.Pools = append(s.c.Pools,
		configuration.Pool{Name: service, Role: configuration.RoleService, Selector: "service=" + service})
}

// addUpstream spreads the upstreams over the data centres in turn.
func (s *site) addUpstream(kind configuration.Kind, name string, labels label.Labels) {
	n := len(s.c.Upstreams)
	dataCentre := n % len(s.dataCentres)
	ip := fmt.Sprintf("%s.%d.%d", s.network, dataCentre, 10+n)
	s.c.Upstreams = append(s.c.Upstreams, configuration.Upstream{
		Name:           name,
		Kind:           kind,
		VM:             "vm-" + name,
		Region:         s.region,
		DataCentre:     s.dataCentres[dataCentre],
		Address:        fmt.Sprintf("%s:%d", ip, enginePort),
		SidecarAddress: fmt.Sprintf("%s:%d", ip, sidecarPort),
		Labels:         labels,
	})
}

// addRules routes the model, and the service whose calls may not be repeated.
func (s *site) addRules(model, service string) {
	s.c.Rules = append(s.c.Rules,
		configuration.Rule{Name: model, Model: model, PrefillPool: model + "-prefill", DecodePool: model + "-decode", MaxOutputTokens: outputTokens},
		configuration.Rule{Name: service, Service: service, ServicePool: service})
}

func (s *site) addPartner(name, credential string) {
	s.c.Partners = append(s.c.Partners, configuration.Partner{Name: name, CredentialSHA256: []string{credential}, Weight: 1})
}

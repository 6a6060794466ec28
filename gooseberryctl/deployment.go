package gooseberryctl

import (
	"fmt"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
)

const (
	initialRevision   = 1
	enginePort        = 7000
	sidecarPort       = 7100
	maxOutputTokens   = 1024
	pieceTokens       = 4096
	keyHorizonSeconds = 3600
	clockSkewMS       = 2000
	quarantineSeconds = 600
	platformReadsPerS = 2000
)

type (
	// deploymentBuilder builds the configuration of a deployment in one region.
	deploymentBuilder struct {
		region      string
		dataCentres []string
		// networkPrefix contains the first two octets of the IPv4 addresses.
		networkPrefix string
		configuration *configuration.Configuration
	}
)

// varal returns a configuration with the model care-assistant on 9 engines and the service booking-desk on 3 upstreams.
// credential is the SHA-256 of the partner's credential, in hexadecimal.
func varal(credential string) *configuration.Configuration {
	b := newDeploymentBuilder("sul", "10.20", "sul-a", "sul-b", "sul-c")
	b.addEngines("care-assistant", 3, 6)
	b.addServices("booking-desk", 3)
	b.addRules("care-assistant", "booking-desk")
	b.addPartner("volunteer-line", credential)
	b.configuration.Limits.FirstTokenMS = 380
	b.configuration.Limits.BetweenTokensMS = 37
	return b.configuration
}

// kalamaki returns a configuration with the model chart-writing on 18 engines and the service shop-front on 4 upstreams.
// credential is the SHA-256 of the partner's credential, in hexadecimal.
func kalamaki(credential string) *configuration.Configuration {
	b := newDeploymentBuilder("gr-central", "10.30", "gr-central-a", "gr-central-b", "gr-central-c", "gr-central-d")
	b.addEngines("chart-writing", 6, 12)
	b.addServices("shop-front", 4)
	b.addRules("chart-writing", "shop-front")
	b.addPartner("print-shops", credential)
	b.configuration.Limits.FirstTokenMS = 380
	b.configuration.Limits.BetweenTokensMS = 37
	return b.configuration
}

func newDeploymentBuilder(region, network string, dataCentres ...string) *deploymentBuilder {
	return &deploymentBuilder{region: region, dataCentres: dataCentres, networkPrefix: network, configuration: &configuration.Configuration{
		Revision: initialRevision,
		Limits: configuration.Limits{
			PieceTokens:       pieceTokens,
			KeyHorizonSeconds: keyHorizonSeconds,
			ClockSkewMS:       clockSkewMS,
			QuarantineSeconds: quarantineSeconds,
			PlatformReadsPerS: platformReadsPerS,
		},
	}}
}

// addEngines adds the given numbers of prefill and decode engines of a model, and their pools.
func (b *deploymentBuilder) addEngines(model string, prefill, decode int) {
	for n := range prefill {
		b.addUpstream(configuration.KindEngine, fmt.Sprintf("%s-prefill-%d", model, n+1), label.Labels{"model": model, "role": "prefill"})
	}
	for n := range decode {
		b.addUpstream(configuration.KindEngine, fmt.Sprintf("%s-decode-%d", model, n+1), label.Labels{"model": model, "role": "decode"})
	}
	b.configuration.Pools = append(b.configuration.Pools,
		configuration.Pool{Name: model + "-prefill", Role: configuration.RolePrefill, Selector: "model=" + model + ",role=prefill"},
		configuration.Pool{Name: model + "-decode", Role: configuration.RoleDecode, Selector: "model=" + model + ",role=decode"})
}

// addServices adds the upstreams of a service and their pool.
func (b *deploymentBuilder) addServices(service string, count int) {
	for n := range count {
		b.addUpstream(configuration.KindService, fmt.Sprintf("%s-%d", service, n+1), label.Labels{"service": service})
	}
	b.configuration.Pools = append(b.configuration.Pools,
		configuration.Pool{Name: service, Role: configuration.RoleService, Selector: "service=" + service})
}

// addUpstream adds an upstream with its VM. It assigns the upstreams to the data centres round-robin.
func (b *deploymentBuilder) addUpstream(kind configuration.Kind, name string, labels label.Labels) {
	n := len(b.configuration.Upstreams)
	dataCentre := n % len(b.dataCentres)
	ip := fmt.Sprintf("%s.%d.%d", b.networkPrefix, dataCentre, 10+n)
	b.configuration.Upstreams = append(b.configuration.Upstreams, configuration.Upstream{
		Name:           name,
		Kind:           kind,
		VM:             "vm-" + name,
		Region:         b.region,
		DataCentre:     b.dataCentres[dataCentre],
		Address:        fmt.Sprintf("%s:%d", ip, enginePort),
		SidecarAddress: fmt.Sprintf("%s:%d", ip, sidecarPort),
		Labels:         labels,
	})
}

// addRules adds a rule for a model, and one for a service whose calls may not be repeated.
func (b *deploymentBuilder) addRules(model, service string) {
	b.configuration.Rules = append(b.configuration.Rules,
		configuration.Rule{Name: model, Model: model, PrefillPool: model + "-prefill", DecodePool: model + "-decode", MaxOutputTokens: maxOutputTokens},
		configuration.Rule{Name: service, Service: service, ServicePool: service})
}

func (b *deploymentBuilder) addPartner(name, credential string) {
	b.configuration.Partners = append(b.configuration.Partners, configuration.Partner{Name: name, CredentialSHA256: []string{credential}, Weight: 1})
}

package configuration_test

import (
	"fmt"
	"testing"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
)

const (
	targetUpstreams   = 2100
	targetPartners    = 3300
	targetModels      = 13
	targetDataCentres = 19
)

// largeConfiguration returns a configuration of the size that the router is designed for.
func largeConfiguration() *configuration.Configuration {
	c := &configuration.Configuration{Revision: 1}
	for m := range targetModels {
		model := fmt.Sprintf("model-%d", m)
		for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
			c.Pools = append(c.Pools, configuration.Pool{
				Name: model + "-" + string(role), Role: role, Selector: fmt.Sprintf("model=%s,role=%s", model, role),
			})
		}
		c.Rules = append(c.Rules, configuration.Rule{
			Name: model, Model: model, PrefillPool: model + "-prefill", DecodePool: model + "-decode", MaxOutputTokens: 1024,
		})
	}
	for n := range targetUpstreams {
		role := "prefill"
		if n%3 > 0 {
			role = "decode"
		}
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: fmt.Sprintf("engine-%d", n), Kind: configuration.KindEngine, VM: fmt.Sprintf("vm-%d", n),
			Region: fmt.Sprintf("region-%d", n%8), DataCentre: fmt.Sprintf("centre-%d", n%targetDataCentres),
			Address:        fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250),
			SidecarAddress: fmt.Sprintf("10.0.%d.%d:7100", n/250, n%250),
			Labels:         label.Labels{"model": fmt.Sprintf("model-%d", n%targetModels), "role": role, "version": "3"},
		})
	}
	for n := range targetPartners {
		c.Partners = append(c.Partners, configuration.Partner{
			Name: fmt.Sprintf("partner-%d", n), CredentialSHA256: []string{access.NewDigest(fmt.Sprint(n)).String()},
		})
	}
	return c
}

func BenchmarkNewIndexAtTargetSize(b *testing.B) {
	c := largeConfiguration()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := configuration.NewIndex(c); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBuildAfterOneChangeAtTargetSize(b *testing.B) {
	before, parts := configuration.Split(largeConfiguration())
	earlier, faults := configuration.Build(before, parts)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	changed := largeConfiguration()
	changed.Revision = 2
	changed.Upstreams[0].Leaving = true
	manifest, parts := configuration.Split(changed)
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := configuration.BuildFrom(earlier, manifest, parts); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkBuildAtTargetSize(b *testing.B) {
	manifest, parts := configuration.Split(largeConfiguration())
	size := len(manifest)
	for _, content := range parts {
		size += len(content)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := configuration.Build(manifest, parts); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
	b.ReportMetric(float64(len(parts)), "parts")
	b.ReportMetric(float64(size), "published_bytes")
}

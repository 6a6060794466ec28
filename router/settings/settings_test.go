package settings_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/settings"
)

func valid() settings.Process {
	return settings.Process{
		Name: "entry-1", VM: "vm-1", Region: "sul", DataCentre: "sul-a",
		FleetAddress: "10.0.0.1:7100", OperatorAddress: "127.0.0.1:7200", PlatformAddress: "10.0.0.9:80",
		FleetKeys: []string{"a-fleet-key-of-the-test"},
	}
}

func TestCheckNamesTheField(t *testing.T) {
	cases := map[string]struct {
		change func(*settings.Process)
		want   string
	}{
		"valid":                       {func(*settings.Process) {}, ""},
		"missing name":                {func(p *settings.Process) { p.Name = "" }, "name: missing"},
		"host name instead of IP":     {func(p *settings.Process) { p.FleetAddress = "localhost:1" }, "fleet_address: the host of \"localhost:1\" is not an IP address"},
		"missing port":                {func(p *settings.Process) { p.PlatformAddress = "10.0.0.9" }, "platform_address: \"10.0.0.9\" is not IP:port"},
		"three keys":                  {func(p *settings.Process) { p.FleetKeys = slices.Repeat(p.FleetKeys, 3) }, "fleet_keys: want 1 to 2 keys, have 3"},
		"short key":                   {func(p *settings.Process) { p.FleetKeys = []string{"short"} }, "fleet_keys[0]: shorter than 16 bytes"},
		"network address without key": {func(p *settings.Process) { p.OperatorAddress = "10.0.0.1:7200" }, "operator_keys: missing"},
		"network address with key":    {func(p *settings.Process) { p.OperatorAddress, p.OperatorKeys = "10.0.0.1:7200", p.FleetKeys }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := valid()
			c.change(&p)
			var f settings.Faults
			p.Check(&f)
			if c.want == "" {
				is.NoErr(f.Err())
				return
			}
			is.Equal(len(f.List), 1)
			is.True(strings.HasPrefix(f.List[0], c.want))
		})
	}
}

func TestDecodeRejects(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":     `{"name":"a","surprise":1}`,
		"trailing content":  `{"name":"a"} {}`,
		"wrong type":        `{"name":7}`,
		"truncated content": `{"name":`,
	} {
		t.Run(name, func(t *testing.T) {
			var p settings.Process
			is.New(t).True(settings.Decode([]byte(text), &p) != nil)
		})
	}
}

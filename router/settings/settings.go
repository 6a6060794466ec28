// Package settings reads the JSON settings of a process and checks them before it listens.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/access"
)

const (
	minKeyBytes = 16
)

type (
	// Process holds the settings that every process of the system has.
	Process struct {
		// Name is the process's name, unique in the fleet.
		Name string `json:"name"`
		// VM is the name of the VM in the platform's list.
		VM         string `json:"vm"`
		Region     string `json:"region"`
		DataCentre string `json:"data_centre"`
		// FleetAddress serves the system's own processes, as IP:port.
		FleetAddress string `json:"fleet_address"`
		// OperatorAddress serves metrics and the state dump, as IP:port.
		OperatorAddress string `json:"operator_address"`
		// PlatformAddress is the configuration service, as IP:port.
		PlatformAddress string `json:"platform_address"`
		// PeerAddresses are fleet addresses of some other processes, as IP:port. A fresh
		// process asks them when the platform can't be read.
		PeerAddresses []string `json:"peer_addresses"`
		// FleetKeys are one or two keys; the first is sent, each is accepted.
		FleetKeys []string `json:"fleet_keys"`
		// OperatorKeys are up to two keys for the operators' address. Without one, that
		// address must be a loopback address.
		OperatorKeys []string `json:"operator_keys,omitempty"`
		// DialOverrides maps a published address to the one that is dialled.
		DialOverrides map[string]string `json:"dial_overrides"`
		// Seed makes random choices repeatable. Zero draws a seed.
		Seed uint64 `json:"seed"`
	}

	// Faults lists what is wrong, each with the field's name.
	Faults struct {
		List []string
	}
)

// Load reads a JSON file into target and refuses unknown fields.
func Load(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	return Decode(content, target)
}

// Decode reads one JSON value into target and refuses unknown fields and trailing content.
func Decode(content []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return eris.Wrap(err, "settings")
	}
	if d.More() {
		return eris.New("settings: content after the first JSON value")
	}
	return nil
}

// Check adds the faults of the common settings.
func (p *Process) Check(f *Faults) {
	f.Required("name", p.Name)
	f.Required("vm", p.VM)
	f.Required("region", p.Region)
	f.Required("data_centre", p.DataCentre)
	f.Address("fleet_address", p.FleetAddress)
	f.Address("operator_address", p.OperatorAddress)
	f.Address("platform_address", p.PlatformAddress)
	for i, address := range p.PeerAddresses {
		f.Address(fmt.Sprintf("peer_addresses[%d]", i), address)
	}
	for from, to := range p.DialOverrides {
		f.Address("dial_overrides", from)
		f.Address("dial_overrides."+from, to)
	}
	p.checkKeys(f)
}

func (p *Process) checkKeys(f *Faults) {
	f.keys("fleet_keys", 1, p.FleetKeys)
	f.keys("operator_keys", 0, p.OperatorKeys)
	if len(p.OperatorKeys) == 0 && !loopback(p.OperatorAddress) {
		f.Addf("operator_keys: missing, and operator_address %q is no loopback address", p.OperatorAddress)
	}
}

func (f *Faults) keys(field string, least int, keys []string) {
	if len(keys) < least || len(keys) > access.MaxKeys {
		f.Addf("%s: want %d to %d keys, have %d", field, least, access.MaxKeys, len(keys))
	}
	for i, key := range keys {
		if len(key) < minKeyBytes {
			f.Addf("%s[%d]: shorter than %d bytes", field, i, minKeyBytes)
		}
	}
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// Addf adds a fault.
func (f *Faults) Addf(format string, args ...any) {
	f.List = append(f.List, fmt.Sprintf(format, args...))
}

// Required adds a fault for an empty value.
func (f *Faults) Required(field, value string) {
	if value == "" {
		f.Addf("%s: missing", field)
	}
}

// Address adds a fault for a value that is not IP:port.
func (f *Faults) Address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		f.Addf("%s: %q is not IP:port", field, value)
		return
	}
	if net.ParseIP(host) == nil {
		f.Addf("%s: %q has no IP number", field, value)
	}
}

// Err returns all faults as one error, or nil.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return eris.New("settings: " + strings.Join(f.List, "; "))
}

// Override replaces a setting by a flag that was given.
func Override(setting *string, flag string) {
	if flag != "" {
		*setting = flag
	}
}

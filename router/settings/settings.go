// Package settings reads and checks the JSON settings of a process.
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
		// FleetAddress is the IP:port that serves the system's own processes.
		FleetAddress string `json:"fleet_address"`
		// OperatorAddress is the IP:port that serves the metrics and the state dump.
		OperatorAddress string `json:"operator_address"`
		// PlatformAddress is the IP:port of the platform's configuration service.
		PlatformAddress string `json:"platform_address"`
		// PeerAddresses are the fleet addresses of some other processes, as IP:port. A process without cached state
		// reads the published state from them when the platform is unavailable.
		PeerAddresses []string `json:"peer_addresses"`
		// FleetKeys are one or two keys. The process sends the first one and accepts each of them.
		FleetKeys []string `json:"fleet_keys"`
		// OperatorKeys are up to two keys that the operator address accepts. Without a key, OperatorAddress must be a
		// loopback address.
		OperatorKeys []string `json:"operator_keys,omitempty"`
		// DialOverrides maps published addresses to the addresses to dial instead.
		DialOverrides map[string]string `json:"dial_overrides"`
		// Seed is the seed of the random choices. Zero selects a random seed.
		Seed uint64 `json:"seed"`
	}

	// Faults collects the faults of settings. Each text begins with the name of its field.
	Faults struct {
		List []string
	}
)

// Load decodes a JSON file into target. Unknown fields and trailing content are errors.
func Load(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	return Decode(content, target)
}

// Decode decodes one JSON value into target. Unknown fields and trailing content are errors.
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

// Check adds the faults of the settings to f.
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
	if len(p.OperatorKeys) == 0 && !isLoopback(p.OperatorAddress) {
		f.Addf("operator_keys: missing, and operator_address %q is not a loopback address", p.OperatorAddress)
	}
}

// keys adds faults for too few, too many or too short keys.
func (f *Faults) keys(field string, minKeys int, keys []string) {
	if len(keys) < minKeys || len(keys) > access.MaxKeys {
		f.Addf("%s: want %d to %d keys, have %d", field, minKeys, access.MaxKeys, len(keys))
	}
	for i, key := range keys {
		if len(key) < minKeyBytes {
			f.Addf("%s[%d]: shorter than %d bytes", field, i, minKeyBytes)
		}
	}
}

// isLoopback reports whether an IP:port has a loopback address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// Addf adds a fault with a formatted text.
func (f *Faults) Addf(format string, args ...any) {
	f.List = append(f.List, fmt.Sprintf(format, args...))
}

// Required adds a fault for an empty value.
func (f *Faults) Required(field, value string) {
	if value == "" {
		f.Addf("%s: missing", field)
	}
}

// Address adds a fault for a value that is not an IP:port.
func (f *Faults) Address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		f.Addf("%s: %q is not IP:port", field, value)
		return
	}
	if net.ParseIP(host) == nil {
		f.Addf("%s: the host of %q is not an IP address", field, value)
	}
}

// Err returns all faults as one error, or nil when there are none.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return eris.New("settings: " + strings.Join(f.List, "; "))
}

// Override replaces a setting by a flag, unless the flag is empty.
func Override(setting *string, flag string) {
	if flag != "" {
		*setting = flag
	}
}

package fleet

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/standin/link"
)

// Cut holds back all that two processes send to each other.
func (f *Fleet) Cut(a, b string) error {
	return f.eachLink(a, b, (*link.Link).Partition)
}

// Reset closes the connections between two processes.
func (f *Fleet) Reset(a, b string) error {
	return f.eachLink(a, b, (*link.Link).CloseConnections)
}

// Heal ends a cut.
func (f *Fleet) Heal(a, b string) error {
	return f.eachLink(a, b, (*link.Link).Heal)
}

// Publish changes a copy of the newest configuration and publishes it under the next
// revision, unless the change sets one.
func (f *Fleet) Publish(change func(*configuration.Configuration) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := clone(f.configuration)
	if err != nil {
		return err
	}
	next.Revision++
	if err := change(next); err != nil {
		return err
	}
	if err := putJSON(f.platformAdmin, "/manifest", next); err != nil {
		return err
	}
	f.configuration = next
	return nil
}

// Relabel publishes new labels of an upstream on top of those it has.
func (f *Fleet) Relabel(upstream string, labels label.Labels) error {
	return f.Publish(func(c *configuration.Configuration) error {
		for i := range c.Upstreams {
			if c.Upstreams[i].Name != upstream {
				continue
			}
			for key, value := range labels {
				c.Upstreams[i].Labels[key] = value
			}
			return nil
		}
		return eris.Errorf("no upstream %q", upstream)
	})
}

// PublishRaw puts a configuration at the platform as it is.
func (f *Fleet) PublishRaw(content []byte) error {
	_, err := exchange(http.MethodPut, f.platformAdmin, "/manifest", content)
	return err
}

// Configuration returns the newest configuration that was published by Publish.
func (f *Fleet) Configuration() *configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuration
}

// PublishVM changes the state of a VM in the platform's list. An empty state removes the VM.
func (f *Fleet) PublishVM(name string, state vm.State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, found := f.byName[name]; !found {
		return eris.Errorf("no VM %q", name)
	}
	next := &vm.List{Version: f.vms.Version + 1}
	listed := false
	for _, v := range f.vms.VMs {
		if v.Name == name {
			listed = true
			v.State = state
		}
		if v.State != "" {
			next.VMs = append(next.VMs, v)
		}
	}
	if !listed && state != "" {
		v := f.byName[name].vm()
		v.State = state
		next.VMs = append(next.VMs, v)
	}
	f.vms = next
	return putJSON(f.platformAdmin, "/vms", next)
}

// PlatformMode makes the platform answer (up), refuse (down) or serve old content (stale).
func (f *Fleet) PlatformMode(state string) error {
	_, err := exchange(http.MethodPost, f.platformAdmin, "/mode?state="+state, nil)
	return err
}

// CallerAddress returns where an entry serves partners.
func (f *Fleet) CallerAddress(entry string) (string, error) {
	n, found := f.byName[entry]
	if !found || !n.isEntry() {
		return "", eris.Errorf("no entry %q", entry)
	}
	return n.caller, nil
}

// OperatorAddress returns where an entry or a sidecar serves operators.
func (f *Fleet) OperatorAddress(process string) (string, error) {
	for _, n := range f.nodes {
		if n.process() == process {
			return n.operator, nil
		}
	}
	return "", eris.Errorf("no operators' address of %q", process)
}

// OperatorAddresses returns the operators' addresses of all entries and sidecars.
func (f *Fleet) OperatorAddresses() []string {
	var list []string
	for _, n := range f.nodes {
		list = append(list, n.operator)
	}
	return list
}

// FleetAddress returns where an entry or a sidecar serves the system's own processes.
func (f *Fleet) FleetAddress(process string) (string, error) {
	for _, n := range f.nodes {
		if n.process() == process {
			return n.fleet, nil
		}
	}
	return "", eris.Errorf("no fleet address of %q", process)
}

// UpstreamAddress returns where the engine or the service itself listens.
func (f *Fleet) UpstreamAddress(upstream string) (string, error) {
	n, found := f.byName[upstream]
	if !found || n.isEntry() {
		return "", eris.Errorf("no upstream %q", upstream)
	}
	return n.address, nil
}

// FleetKey returns the key that the fleet's processes share.
func (f *Fleet) FleetKey() string {
	return fleetKey
}

// PlatformAddress returns where the platform serves readers.
func (f *Fleet) PlatformAddress() string {
	return f.platform
}

// PlatformAdminAddress returns where the platform takes new configurations.
func (f *Fleet) PlatformAdminAddress() string {
	return f.platformAdmin
}

// Page returns the JSON of a page at an address.
func (f *Fleet) Page(address, path string) ([]byte, error) {
	return get(address, path)
}

func (f *Fleet) eachLink(a, b string, do func(*link.Link)) error {
	found := false
	for _, name := range []string{linkName(a, b), linkName(b, a)} {
		if l := f.links[name]; l != nil {
			do(l)
			found = true
		}
	}
	if !found {
		return eris.Errorf("no link between %q and %q", a, b)
	}
	return nil
}

func (f *Fleet) publishAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := putJSON(f.platformAdmin, "/manifest", f.configuration); err != nil {
		return err
	}
	return putJSON(f.platformAdmin, "/vms", f.vms)
}

func clone(c *configuration.Configuration) (*configuration.Configuration, error) {
	content, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	next := &configuration.Configuration{}
	return next, eris.Wrap(json.Unmarshal(content, next), "configuration")
}

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

// Partition holds back all data between two processes, in both directions, until Heal. Connections stay open. It
// returns an error if no link exists between the processes.
func (f *Fleet) Partition(a, b string) error {
	return f.forEachLink(a, b, (*link.Link).Partition)
}

// Reset closes all connections between two processes. It returns an error if no link exists between them.
func (f *Fleet) Reset(a, b string) error {
	return f.forEachLink(a, b, (*link.Link).CloseConnections)
}

// Heal delivers the data that Partition held back and forwards data again.
func (f *Fleet) Heal(a, b string) error {
	return f.forEachLink(a, b, (*link.Link).Heal)
}

// Publish applies change to a copy of the newest configuration and publishes the copy at the platform. Its
// revision is the next one unless change sets another.
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
	if err := putJSON(f.platformAdminAddress, "/manifest", next); err != nil {
		return err
	}
	f.configuration = next
	return nil
}

// Relabel publishes a configuration in which the labels are added to an upstream. They replace existing labels
// with the same key.
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

// PublishRaw sends a configuration to the platform without checking or changing it.
func (f *Fleet) PublishRaw(content []byte) error {
	_, err := doRequest(http.MethodPut, f.platformAdminAddress, "/manifest", content)
	return err
}

// Configuration returns the last configuration that Publish sent, or the initial one.
func (f *Fleet) Configuration() *configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuration
}

// PublishVM publishes a VM list in which a VM of the fleet has the given state. An empty state removes the VM
// from the list.
func (f *Fleet) PublishVM(name string, state vm.State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, found := f.nodesByName[name]; !found {
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
		v := f.nodesByName[name].vm()
		v.State = state
		next.VMs = append(next.VMs, v)
	}
	f.vms = next
	return putJSON(f.platformAdminAddress, "/vms", next)
}

// SetPlatformMode makes the platform stand-in answer (up), refuse requests (down) or serve old content (stale).
func (f *Fleet) SetPlatformMode(state string) error {
	_, err := doRequest(http.MethodPost, f.platformAdminAddress, "/mode?state="+state, nil)
	return err
}

// CallerAddress returns the address at which an entry serves partners.
func (f *Fleet) CallerAddress(entry string) (string, error) {
	n, found := f.nodesByName[entry]
	if !found || !n.isEntry() {
		return "", eris.Errorf("no entry %q", entry)
	}
	return n.callerAddress, nil
}

// OperatorAddress returns the address at which an entry or a sidecar serves operators.
func (f *Fleet) OperatorAddress(process string) (string, error) {
	for _, n := range f.nodes {
		if n.processName() == process {
			return n.operatorAddress, nil
		}
	}
	return "", eris.Errorf("no operator address for process %q", process)
}

// OperatorAddresses returns the operator addresses of all entries and sidecars.
func (f *Fleet) OperatorAddresses() []string {
	var list []string
	for _, n := range f.nodes {
		list = append(list, n.operatorAddress)
	}
	return list
}

// FleetAddress returns the address at which an entry or a sidecar serves the other processes of the fleet.
func (f *Fleet) FleetAddress(process string) (string, error) {
	for _, n := range f.nodes {
		if n.processName() == process {
			return n.fleetAddress, nil
		}
	}
	return "", eris.Errorf("no fleet address for process %q", process)
}

// UpstreamAddress returns the address at which an engine or a service listens, as opposed to its sidecar.
func (f *Fleet) UpstreamAddress(upstream string) (string, error) {
	n, found := f.nodesByName[upstream]
	if !found || n.isEntry() {
		return "", eris.Errorf("no upstream %q", upstream)
	}
	return n.upstreamAddress, nil
}

// FleetKey returns the key with which the processes of the fleet authenticate to each other.
func (f *Fleet) FleetKey() string {
	return fleetKey
}

// PlatformAddress returns the address at which the platform serves configurations and VM lists.
func (f *Fleet) PlatformAddress() string {
	return f.platformAddress
}

// PlatformAdminAddress returns the address at which the platform accepts new configurations and VM lists.
func (f *Fleet) PlatformAdminAddress() string {
	return f.platformAdminAddress
}

// HTTPGet returns the body of the response to an HTTP GET of a path. It returns an error for a status of 300 or
// above.
func (f *Fleet) HTTPGet(address, path string) ([]byte, error) {
	return get(address, path)
}

// forEachLink calls do on the links between two processes, one for each direction of dialling.
func (f *Fleet) forEachLink(a, b string, do func(*link.Link)) error {
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

// publishAll sends the newest configuration and VM list to the platform.
func (f *Fleet) publishAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := putJSON(f.platformAdminAddress, "/manifest", f.configuration); err != nil {
		return err
	}
	return putJSON(f.platformAdminAddress, "/vms", f.vms)
}

func clone(c *configuration.Configuration) (*configuration.Configuration, error) {
	content, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	next := &configuration.Configuration{}
	return next, eris.Wrap(json.Unmarshal(content, next), "configuration")
}

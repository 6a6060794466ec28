// Package platform serves the configuration and the VM list as the platform does.
package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/vm"
)

const (
	// Up serves the newest content.
	Up Mode = "up"
	// Down refuses each read.
	Down Mode = "down"
	// Stale keeps serving what was newest when the mode began.
	Stale Mode = "stale"

	maxWait = time.Minute
)

type (
	// Mode tells how the platform behaves.
	Mode string

	// Reads counts the reads; a waiting watch is one.
	Reads struct {
		Manifest int64 `json:"manifest"`
		Part     int64 `json:"part"`
		VMs      int64 `json:"vms"`
		Total    int64 `json:"total"`
	}

	// Platform holds what is published.
	Platform struct {
		mu        sync.Mutex
		mode      Mode
		published content
		// served is what readers see; it lags behind in the mode Stale.
		served  content
		parts   map[string][]byte
		reads   Reads
		changed chan struct{}
	}

	content struct {
		revision int64
		manifest []byte
		version  int64
		vms      []byte
	}

	// publication is the body by which a manifest is published.
	publication struct {
		Manifest json.RawMessage            `json:"manifest"`
		Parts    map[string]json.RawMessage `json:"parts"`
	}
)

// New returns a platform without content.
func New() *Platform {
	return &Platform{mode: Up, parts: make(map[string][]byte), changed: make(chan struct{})}
}

// Publish takes a whole configuration, or an object with manifest and parts, and returns
// the revision. The content is not checked. Without a revision it gets the next one.
func (p *Platform) Publish(body []byte) (int64, error) {
	var raw publication
	if err := json.Unmarshal(body, &raw); err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	if raw.Manifest != nil {
		return p.publishParts(raw)
	}
	var c configuration.Configuration
	if err := json.Unmarshal(body, &c); err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	c.Revision = p.orNextRevision(c.Revision)
	manifest, parts := configuration.Split(&c)
	p.put(c.Revision, manifest, parts)
	return c.Revision, nil
}

// publishParts takes a manifest as it is. One without parts gets those of the publication.
func (p *Platform) publishParts(raw publication) (int64, error) {
	var m configuration.Manifest
	if err := json.Unmarshal(raw.Manifest, &m); err != nil {
		return 0, eris.Wrap(err, "publish manifest")
	}
	parts := make(map[string][]byte, len(raw.Parts))
	references := make([]configuration.PartReference, 0, len(raw.Parts))
	for name, content := range raw.Parts {
		digest := configuration.Digest(content)
		parts[digest] = content
		references = append(references, configuration.PartReference{Name: name, SHA256: digest, Bytes: int64(len(content))})
	}
	manifest := []byte(raw.Manifest)
	if len(m.Parts) == 0 {
		m.Revision = p.orNextRevision(m.Revision)
		m.Parts = references
		var err error
		if manifest, err = json.Marshal(m); err != nil {
			return 0, eris.Wrap(err, "publish manifest")
		}
	}
	p.put(m.Revision, manifest, parts)
	return m.Revision, nil
}

// PublishVMs takes a VM list and returns its version. Without one it gets the next one.
func (p *Platform) PublishVMs(body []byte) (int64, error) {
	var list vm.List
	if err := json.Unmarshal(body, &list); err != nil {
		return 0, eris.Wrap(err, "publish VMs")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Version == 0 {
		list.Version = p.published.version + 1
	}
	vms, err := json.Marshal(list)
	if err != nil {
		return 0, eris.Wrap(err, "publish VMs")
	}
	p.published.version, p.published.vms = list.Version, vms
	p.refresh()
	return list.Version, nil
}

// SetMode changes how the platform behaves.
func (p *Platform) SetMode(m Mode) error {
	if m != Up && m != Down && m != Stale {
		return eris.Errorf("mode %q is not up, down or stale", m)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.refresh()
	return nil
}

// Reads returns the counted reads.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) orNextRevision(revision int64) int64 {
	if revision != 0 {
		return revision
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published.revision + 1
}

func (p *Platform) put(revision int64, manifest []byte, parts map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.revision, p.published.manifest = revision, manifest
	for digest, part := range parts {
		p.parts[digest] = part
	}
	p.refresh()
}

// refresh lets readers see what is published, unless the mode is Stale, and wakes them.
func (p *Platform) refresh() {
	if p.mode != Stale {
		p.served = p.published
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// count adds one read, and tells whether the platform is down.
func (p *Platform) count(kind *int64) (down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*kind++
	p.reads.Total++
	return p.mode == Down
}

// watch waits until pick returns something, and tells whether the platform is up.
func (p *Platform) watch(ctx context.Context, wait time.Duration, pick func(content) []byte) (found []byte, up bool) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		found, up = pick(p.served), p.mode != Down
		changed := p.changed
		p.mu.Unlock()
		if !up || found != nil {
			return found, up
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

func (p *Platform) part(digest string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts[digest]
}

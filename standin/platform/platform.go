// Package platform is a stand-in for the platform that serves the configuration and the VM list.
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
	// Up serves the latest content.
	Up Mode = "up"
	// Down rejects each read.
	Down Mode = "down"
	// Stale serves the content that was the latest when the mode was set.
	Stale Mode = "stale"

	// maxWait bounds the wait of a watch.
	maxWait = time.Minute
)

type (
	// Mode selects how the platform answers reads.
	Mode string

	// Reads counts the reads by kind. A watch that waits counts as one read.
	Reads struct {
		Manifest int64 `json:"manifest"`
		Part     int64 `json:"part"`
		VMs      int64 `json:"vms"`
		Total    int64 `json:"total"`
	}

	// Platform holds the published content. It is safe for concurrent use.
	Platform struct {
		mu     sync.Mutex
		mode   Mode
		latest content
		// served is the content that reads return. In the mode Stale it may be older than latest.
		served content
		// parts is keyed by the SHA-256 of the part in hexadecimal.
		parts map[string][]byte
		reads Reads
		// changed is closed when the content or the mode changes.
		changed chan struct{}
	}

	content struct {
		revision int64
		manifest []byte
		version  int64
		vms      []byte
	}

	// publication is a request body that publishes a manifest with its parts.
	publication struct {
		Manifest json.RawMessage            `json:"manifest"`
		Parts    map[string]json.RawMessage `json:"parts"`
	}
)

// New returns a platform without content.
func New() *Platform {
	return &Platform{mode: Up, parts: make(map[string][]byte), changed: make(chan struct{})}
}

// Publish publishes a complete configuration, or an object with a manifest and its parts, and returns the
// revision. Content without a revision is assigned the next one. The content is not validated.
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
	c.Revision = p.revisionOrNext(c.Revision)
	manifest, parts := configuration.Split(&c)
	p.store(c.Revision, manifest, parts)
	return c.Revision, nil
}

// publishParts publishes a manifest that lists parts unchanged. A manifest without parts is completed with references
// to the parts of the publication and, if it has no revision, with the next one.
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
		m.Revision = p.revisionOrNext(m.Revision)
		m.Parts = references
		var err error
		if manifest, err = json.Marshal(m); err != nil {
			return 0, eris.Wrap(err, "publish manifest")
		}
	}
	p.store(m.Revision, manifest, parts)
	return m.Revision, nil
}

// PublishVMs publishes a VM list and returns its version. A list without a version is assigned the next one.
func (p *Platform) PublishVMs(body []byte) (int64, error) {
	var list vm.List
	if err := json.Unmarshal(body, &list); err != nil {
		return 0, eris.Wrap(err, "publish VMs")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Version == 0 {
		list.Version = p.latest.version + 1
	}
	vms, err := json.Marshal(list)
	if err != nil {
		return 0, eris.Wrap(err, "publish VMs")
	}
	p.latest.version, p.latest.vms = list.Version, vms
	p.updateServed()
	return list.Version, nil
}

// SetMode sets how the platform answers reads. It returns an error for an unknown mode.
func (p *Platform) SetMode(m Mode) error {
	if m != Up && m != Down && m != Stale {
		return eris.Errorf("mode %q is not up, down or stale", m)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.updateServed()
	return nil
}

// Reads returns the number of reads since the start.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// revisionOrNext returns the revision, or the one after the latest if it is 0.
func (p *Platform) revisionOrNext(revision int64) int64 {
	if revision != 0 {
		return revision
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest.revision + 1
}

func (p *Platform) store(revision int64, manifest []byte, parts map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest.revision, p.latest.manifest = revision, manifest
	for digest, part := range parts {
		p.parts[digest] = part
	}
	p.updateServed()
}

// updateServed makes the latest content visible to reads, unless the mode is Stale, and wakes waiting watches.
func (p *Platform) updateServed() {
	if p.mode != Stale {
		p.served = p.latest
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// countRead counts a read and reports whether the platform is down.
func (p *Platform) countRead(kind *int64) (down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*kind++
	p.reads.Total++
	return p.mode == Down
}

// waitFor waits until pick returns content, the wait expires, ctx is done or the platform is down. It reports whether the
// platform is up.
func (p *Platform) waitFor(ctx context.Context, wait time.Duration, pick func(content) []byte) (found []byte, up bool) {
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

func (p *Platform) findPart(digest string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts[digest]
}

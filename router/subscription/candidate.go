package subscription

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
)

const (
	older verdict = iota + 1
	same
	conflicting
	newer
)

type (
	// verdict compares a manifest with the configuration in force.
	verdict int

	// candidate is a manifest that may come in force.
	candidate struct {
		manifest []byte
		revision int64
		digest   string
		// from is the fleet address of the peer that sent it, or "" for the platform.
		from string
		// parts are the parts of a refused candidate, for peers that judge it themselves.
		parts map[string][]byte
	}
)

func newCandidate(manifest []byte, from string) *candidate {
	c := &candidate{manifest: manifest, digest: configuration.Digest(manifest), from: from}
	if m, faults := configuration.ReadManifest(manifest); len(faults) == 0 {
		c.revision = m.Revision
	}
	return c
}

// compare tells what a manifest is to the view in force.
func compare(view port.View, revision int64, digest string) verdict {
	switch {
	case revision > view.Revision:
		return newer
	case revision < view.Revision:
		return older
	case digest == view.Digest:
		return same
	default:
		return conflicting
	}
}

// consider brings a manifest in force, refuses it, or ignores it. It tells whether
// nothing more is to be done about it.
func (r *Reader) consider(ctx context.Context, c *candidate) bool {
	done, first := r.enter(ctx, c.digest)
	if !first {
		return done
	}
	defer r.leave(c.digest)
	if c.revision == 0 {
		return r.refuseUnreadable(c)
	}
	switch compare(r.View(), c.revision, c.digest) {
	case newer:
		return r.install(ctx, c)
	case conflicting:
		r.refuse(c)
		r.log.Info(event.ConfigurationConflict, "revision", c.revision, "digest", c.digest,
			"in_force_digest", r.View().Digest, "from", c.from)
		return true
	case older, same:
		return true
	}
	return true
}

// enter makes the caller the only one that works on a manifest. It returns false for
// first when the manifest was refused before or another caller has just worked on it.
func (r *Reader) enter(ctx context.Context, digest string) (done, first bool) {
	if r.wasRefused(digest) {
		return true, false
	}
	r.mu.Lock()
	flight, found := r.flights[digest]
	if !found {
		r.flights[digest] = make(chan struct{})
		r.mu.Unlock()
		return false, true
	}
	r.mu.Unlock()
	select {
	case <-flight:
	case <-ctx.Done():
	}
	return false, false
}

func (r *Reader) leave(digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.flights[digest])
	delete(r.flights, digest)
}

func (r *Reader) refuseUnreadable(c *candidate) bool {
	_, faults := configuration.ReadManifest(c.manifest)
	r.refuse(c)
	r.logInvalid(c, faults)
	return true
}

// install reads the parts and brings the configuration in force, if it is valid.
func (r *Reader) install(ctx context.Context, c *candidate) bool {
	parts, err := r.collect(ctx, c)
	if err != nil {
		r.log.Error(err, event.ConfigurationPartMissing, "revision", c.revision, "digest", c.digest, "from", c.from)
		return false
	}
	snapshot, faults := configuration.BuildFrom(r.store.Current(), c.manifest, parts)
	if len(faults) > 0 {
		c.parts = parts
		r.refuse(c)
		r.logInvalid(c, faults)
		return true
	}
	previous := r.View()
	if !r.store.Put(snapshot) {
		return true
	}
	r.accepted(snapshot.Revision)
	r.resize()
	r.notify()
	r.log.Info(event.ConfigurationInForce, "revision", snapshot.Revision, "digest", snapshot.Digest,
		"previous_revision", previous.Revision, "from", c.from)
	return true
}

func (r *Reader) logInvalid(c *candidate, faults []configuration.Fault) {
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, f.String())
	}
	r.log.Info(event.ConfigurationInvalid, "revision", c.revision, "digest", c.digest, "faults", texts, "from", c.from)
}

// refuse remembers a manifest that stays out, and keeps the newest one for peers.
func (r *Reader) refuse(c *candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refused) >= refusedMemory {
		r.refused = slices.Delete(r.refused, 0, 1)
	}
	r.refused = append(r.refused, c.digest)
	if r.rejected == nil || c.revision >= r.rejected.revision {
		r.rejected = c
	}
}

func (r *Reader) wasRefused(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.refused, digest)
}

// accepted notes when a revision came in force, and forgets a refused one below it.
func (r *Reader) accepted(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = time.Now()
	if r.rejected != nil && r.rejected.revision < revision {
		r.rejected = nil
	}
}

// collect returns all parts of a candidate. Those in force already aren't read again.
func (r *Reader) collect(ctx context.Context, c *candidate) (map[string][]byte, error) {
	m, _ := configuration.ReadManifest(c.manifest)
	parts := make(map[string][]byte, len(m.Parts))
	if s := r.store.Current(); s != nil {
		for digest, content := range s.Parts {
			parts[digest] = content
		}
	}
	for _, reference := range m.Missing(parts) {
		content, err := r.fetch(ctx, c, reference.SHA256)
		if err != nil {
			return nil, eris.Wrapf(err, "part %s", reference.Name)
		}
		parts[reference.SHA256] = content
	}
	return parts, nil
}

// fetch reads one part: from the peer that sent the manifest, else from a holder, else
// from the platform. Holders are not asked while they are silent, nor by a holder.
func (r *Reader) fetch(ctx context.Context, c *candidate, sha256 string) ([]byte, error) {
	sources := []string{c.from}
	if c.from == "" && !r.topology().holder && r.silence() > 0 {
		sources = r.topology().near
	}
	for _, address := range sources {
		if address == "" {
			continue
		}
		if content, err := r.fetchFromPeer(ctx, address, sha256); err == nil {
			return content, nil
		}
	}
	if err := r.spend(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	content, err := r.platform.Part(ctx, sha256)
	r.observePlatform(err)
	return verified(content, sha256, err)
}

func (r *Reader) fetchFromPeer(ctx context.Context, address, sha256 string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	content, err := r.peers.Part(ctx, address, sha256)
	return verified(content, sha256, err)
}

func verified(content []byte, sha256 string, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if configuration.Digest(content) != sha256 {
		return nil, eris.New("the content doesn't have the wanted SHA-256")
	}
	return content, nil
}

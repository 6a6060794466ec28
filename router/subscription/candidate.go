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
	older comparison = iota + 1
	same
	conflicting
	newer
)

type (
	// comparison is the relation of a manifest to the configuration in force.
	comparison int

	// candidate is a manifest to evaluate, which may come into force.
	candidate struct {
		manifest []byte
		// revision is 0 if the manifest is invalid.
		revision int64
		digest   string
		// from is the fleet address of the peer that sent the manifest, or "" for the platform.
		from string
		// parts contains the parts of a rejected candidate with an invalid configuration, keyed by SHA-256. Peers
		// read them to evaluate the candidate themselves.
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

// compareWithView returns the relation of a manifest to the configuration of a view.
func compareWithView(view port.View, revision int64, digest string) comparison {
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

// evaluate brings a manifest into force, rejects it, or ignores an old one. It returns false if the manifest must be
// tried again: a part could not be read, or another caller evaluated the manifest at the same time.
func (r *Reader) evaluate(ctx context.Context, c *candidate) bool {
	done, claimed := r.claim(ctx, c.digest)
	if !claimed {
		return done
	}
	defer r.release(c.digest)
	if c.revision == 0 {
		return r.rejectInvalidManifest(c)
	}
	switch compareWithView(r.View(), c.revision, c.digest) {
	case newer:
		return r.install(ctx, c)
	case conflicting:
		r.reject(c)
		r.log.Info(event.ConfigurationConflict, "revision", c.revision, "digest", c.digest,
			"in_force_digest", r.View().Digest, "from", c.from)
		return true
	case older, same:
		return true
	}
	return true
}

// claim makes the caller the only one that evaluates a manifest until it calls release. claimed is false if the
// manifest was rejected before, in which case done is true. If another caller is evaluating the manifest, claim waits
// for the end of that evaluation, or of the context, and both results are false.
func (r *Reader) claim(ctx context.Context, digest string) (done, claimed bool) {
	if r.wasRejected(digest) {
		return true, false
	}
	r.mu.Lock()
	evaluation, found := r.evaluations[digest]
	if !found {
		r.evaluations[digest] = make(chan struct{})
		r.mu.Unlock()
		return false, true
	}
	r.mu.Unlock()
	select {
	case <-evaluation:
	case <-ctx.Done():
	}
	return false, false
}

// release ends a claim and wakes the callers that wait for its end.
func (r *Reader) release(digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.evaluations[digest])
	delete(r.evaluations, digest)
}

// rejectInvalidManifest rejects a manifest that is not valid JSON or has faults. It returns true, as there is nothing
// to try again.
func (r *Reader) rejectInvalidManifest(c *candidate) bool {
	_, faults := configuration.ReadManifest(c.manifest)
	r.reject(c)
	r.logInvalid(c, faults)
	return true
}

// install reads the parts and brings the configuration into force if it is valid, or rejects it otherwise. It returns
// false if a part could not be read.
func (r *Reader) install(ctx context.Context, c *candidate) bool {
	parts, err := r.readParts(ctx, c)
	if err != nil {
		r.log.Error(err, event.ConfigurationPartMissing, "revision", c.revision, "digest", c.digest, "from", c.from)
		return false
	}
	snapshot, faults := configuration.BuildFrom(r.store.Current(), c.manifest, parts)
	if len(faults) > 0 {
		c.parts = parts
		r.reject(c)
		r.logInvalid(c, faults)
		return true
	}
	previous := r.View()
	if !r.store.Put(snapshot) {
		return true
	}
	r.recordInForce(snapshot.Revision)
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

// reject records that a manifest must not come into force. It keeps the newest rejected one to serve it to peers.
func (r *Reader) reject(c *candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rejectedDigests) >= maxRejectedDigests {
		r.rejectedDigests = slices.Delete(r.rejectedDigests, 0, 1)
	}
	r.rejectedDigests = append(r.rejectedDigests, c.digest)
	if r.newestRejected == nil || c.revision >= r.newestRejected.revision {
		r.newestRejected = c
	}
}

func (r *Reader) wasRejected(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.rejectedDigests, digest)
}

// recordInForce records the time at which a revision came into force, and drops a rejected candidate with a lower
// revision.
func (r *Reader) recordInForce(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForceSince = time.Now()
	if r.newestRejected != nil && r.newestRejected.revision < revision {
		r.newestRejected = nil
	}
}

// readParts returns all parts of a candidate, keyed by SHA-256. It does not read parts again that the configuration in
// force contains.
func (r *Reader) readParts(ctx context.Context, c *candidate) (map[string][]byte, error) {
	m, _ := configuration.ReadManifest(c.manifest)
	parts := make(map[string][]byte, len(m.Parts))
	if s := r.store.Current(); s != nil {
		for digest, content := range s.Parts {
			parts[digest] = content
		}
	}
	for _, reference := range m.Missing(parts) {
		content, err := r.readPart(ctx, c, reference.SHA256)
		if err != nil {
			return nil, eris.Wrapf(err, "part %s", reference.Name)
		}
		parts[reference.SHA256] = content
	}
	return parts, nil
}

// readPart reads one part from the peer that sent the manifest. If the platform sent it, a follower asks the holders,
// unless their timeout has passed. If no peer returns the part, readPart reads it from the platform.
func (r *Reader) readPart(ctx context.Context, c *candidate, sha256 string) ([]byte, error) {
	sources := []string{c.from}
	if c.from == "" && !r.topology().isHolder && r.untilHolderTimeout() > 0 {
		sources = r.topology().localHolders
	}
	for _, address := range sources {
		if address == "" {
			continue
		}
		if content, err := r.readPartFromPeer(ctx, address, sha256); err == nil {
			return content, nil
		}
	}
	if err := r.awaitReadBudget(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	content, err := r.platform.Part(ctx, sha256)
	r.observePlatform(err)
	return verifyDigest(content, sha256, err)
}

func (r *Reader) readPartFromPeer(ctx context.Context, address, sha256 string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	content, err := r.peers.Part(ctx, address, sha256)
	return verifyDigest(content, sha256, err)
}

// verifyDigest returns the content of a part, or an error if err is set or the SHA-256 differs.
func verifyDigest(content []byte, sha256 string, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if configuration.Digest(content) != sha256 {
		return nil, eris.New("the SHA-256 of the part differs from the manifest's")
	}
	return content, nil
}

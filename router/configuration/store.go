package configuration

import (
	"sync"
)

type (
	// Snapshot is a valid configuration, as published and indexed. It is immutable.
	Snapshot struct {
		Revision int64
		// Digest is the SHA-256 of the manifest, in hexadecimal.
		Digest string
		// Manifest is the manifest as published.
		Manifest []byte
		// Parts contains the parts as published, keyed by their SHA-256 in hexadecimal.
		Parts map[string][]byte
		Index *Index

		// decoded contains the decoded parts, keyed by SHA-256. BuildFrom reuses them for the next snapshot.
		decoded map[string]*part
	}

	// Store holds the configuration in force. Its revision never decreases. A Store is safe for concurrent use.
	Store struct {
		mu      sync.Mutex
		current *Snapshot
		// changed is closed and replaced when current changes.
		changed chan struct{}
	}
)

// decodedPart returns the decoded part with the given SHA-256, or nil. The snapshot may be nil.
func (s *Snapshot) decodedPart(sha256 string) *part {
	if s == nil {
		return nil
	}
	return s.decoded[sha256]
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the first one.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns a channel that is closed when the next configuration comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Put brings a snapshot into force if its revision is higher than the current one, and reports whether it did.
func (s *Store) Put(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && next.Revision <= s.current.Revision {
		return false
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

package configuration

import (
	"sync"
)

type (
	// Snapshot is a configuration in force. It never changes.
	Snapshot struct {
		Revision int64
		// Digest is the SHA-256 of the manifest, in hexadecimal.
		Digest string
		// Manifest is the manifest as published.
		Manifest []byte
		// Parts are the parts as published, by their SHA-256 in hexadecimal.
		Parts map[string][]byte
		Index *Index

		// decoded are the parts as read, so that the next snapshot can share them.
		decoded map[string]*part
	}

	// Store holds the configuration in force; its revision only rises.
	Store struct {
		mu      sync.Mutex
		current *Snapshot
		changed chan struct{}
	}
)

// decodedPart returns a part of the snapshot, or nil. The snapshot may be nil.
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

// Changed returns a channel that is closed when the next configuration is in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Put brings a snapshot in force if its revision is higher, and tells whether it did.
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

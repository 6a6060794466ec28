package booking

import (
	"time"
)

const (
	// Intent marks a key that is running, or was running when its process stopped.
	Intent State = 1
	// Done marks a key that ran and has a result.
	Done State = 2
	// Tombstone marks a key that never runs.
	Tombstone State = 3
	// Unknown marks a key that may have run.
	Unknown State = 4
)

type (
	// State is the execution state of a key.
	State int

	// Result is the response of a service.
	Result struct {
		Status int
		Body   []byte
	}

	// Call is one attempt to run a key.
	Call struct {
		// Key is the digest of the partner and the idempotency key.
		Key string
		// Created is the creation time stated in the key, by the partner's clock.
		Created time.Time
		// ContentDigest is the digest of the request. It detects a key that is reused for other content.
		ContentDigest string
		Pool          string
		// Revision is the newest configuration revision that the sending entry has adopted.
		Revision int64
	}

	// Record is the state that a home stores for a key.
	Record struct {
		Key           string
		Created       time.Time
		ContentDigest string
		Pool          string
		State         State
		Result        Result
	}

	// entry is a record with the channel of its waiters. Its shard's lock guards it.
	entry struct {
		Record
		// done is closed when the run ends. It is nil while no run is in progress.
		done chan struct{}
	}
)

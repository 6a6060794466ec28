package lease

import (
	"sync"

	"gooseberrypin.example/router/port"
)

const (
	// missesUntilLost is the number of consecutive unanswered heartbeats after which a process counts as lost.
	missesUntilLost = 2
)

type (
	// Holdings records the attempts for which this process holds leases, by the address of the
	// process that granted them. One heartbeat to an address renews all its leases.
	Holdings struct {
		mu sync.Mutex
		// attempts counts the calls of Add by address and attempt.
		attempts      map[string]map[port.Attempt]int
		watchers      map[string]map[int]func()
		misses        map[string]int
		lastWatcherID int
	}
)

// NewHoldings returns Holdings without leases.
func NewHoldings() *Holdings {
	return &Holdings{
		attempts: make(map[string]map[port.Attempt]int),
		watchers: make(map[string]map[int]func()),
		misses:   make(map[string]int),
	}
}

// Add records that an attempt may hold a lease at an address. The attempt is recorded until
// Remove has been called as often as Add.
func (h *Holdings) Add(address string, a port.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts, found := h.attempts[address]
	if !found {
		attempts = make(map[port.Attempt]int)
		h.attempts[address] = attempts
	}
	attempts[a]++
}

// Remove reverts one call of Add.
func (h *Holdings) Remove(address string, a port.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts, found := h.attempts[address]
	if !found {
		return
	}
	if attempts[a]--; attempts[a] <= 0 {
		delete(attempts, a)
	}
	if len(attempts) == 0 {
		delete(h.attempts, address)
	}
}

// OnLost registers a function that is called when the process at an address leaves
// missesUntilLost consecutive heartbeats unanswered. The returned function removes it.
func (h *Holdings) OnLost(address string, lost func()) (remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastWatcherID++
	id := h.lastWatcherID
	if h.watchers[address] == nil {
		h.watchers[address] = make(map[int]func())
	}
	h.watchers[address][id] = lost
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.watchers[address], id)
		if len(h.watchers[address]) == 0 {
			delete(h.watchers, address)
			delete(h.misses, address)
		}
	}
}

// HeartbeatAnswered records an answered heartbeat and resets the count of unanswered ones.
func (h *Holdings) HeartbeatAnswered(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.misses, address)
}

// HeartbeatMissed records an unanswered heartbeat. If the process counts as lost, it calls the
// functions that OnLost registered for the address.
func (h *Holdings) HeartbeatMissed(address string) {
	for _, lost := range h.recordMiss(address) {
		lost()
	}
}

// recordMiss counts an unanswered heartbeat and returns the functions to call.
func (h *Holdings) recordMiss(address string) []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses[address]++
	if h.misses[address] < missesUntilLost {
		return nil
	}
	delete(h.misses, address)
	var watchers []func()
	for _, lost := range h.watchers[address] {
		watchers = append(watchers, lost)
	}
	return watchers
}

// Addresses returns the addresses at which an attempt may hold a lease.
func (h *Holdings) Addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, 0, len(h.attempts))
	for address := range h.attempts {
		list = append(list, address)
	}
	return list
}

// Attempts returns the attempts that may hold a lease at an address.
func (h *Holdings) Attempts(address string) []port.Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]port.Attempt, 0, len(h.attempts[address]))
	for a := range h.attempts[address] {
		list = append(list, a)
	}
	return list
}

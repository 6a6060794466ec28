package lease

import (
	"sync"

	"gooseberrypin.example/router/port"
)

const (
	// maxMisses is the number of heartbeats in a row after which a process counts as lost.
	maxMisses = 2
)

type (
	// Holdings records where this process holds leases, so that one heartbeat for each
	// address renews them all.
	Holdings struct {
		mu        sync.Mutex
		addresses map[string]map[port.Attempt]int
		watchers  map[string]map[int]func()
		misses    map[string]int
		next      int
	}
)

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings {
	return &Holdings{
		addresses: make(map[string]map[port.Attempt]int),
		watchers:  make(map[string]map[int]func()),
		misses:    make(map[string]int),
	}
}

// Add notes that an attempt may hold something at an address. Adds are counted.
func (h *Holdings) Add(address string, a port.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts, found := h.addresses[address]
	if !found {
		attempts = make(map[port.Attempt]int)
		h.addresses[address] = attempts
	}
	attempts[a]++
}

// Remove takes back one Add.
func (h *Holdings) Remove(address string, a port.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts, found := h.addresses[address]
	if !found {
		return
	}
	if attempts[a]--; attempts[a] <= 0 {
		delete(attempts, a)
	}
	if len(attempts) == 0 {
		delete(h.addresses, address)
	}
}

// OnLost calls lost when the process at an address misses its heartbeats. The returned
// function takes that back.
func (h *Holdings) OnLost(address string, lost func()) (forget func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	id := h.next
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

// HeartbeatAnswered notes a heartbeat that was answered.
func (h *Holdings) HeartbeatAnswered(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.misses, address)
}

// HeartbeatMissed notes a heartbeat without an answer, and tells the watchers of a lost process.
func (h *Holdings) HeartbeatMissed(address string) {
	for _, lost := range h.missed(address) {
		lost()
	}
}

func (h *Holdings) missed(address string) []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses[address]++
	if h.misses[address] < maxMisses {
		return nil
	}
	delete(h.misses, address)
	var watchers []func()
	for _, lost := range h.watchers[address] {
		watchers = append(watchers, lost)
	}
	return watchers
}

// Addresses returns where anything is held.
func (h *Holdings) Addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, 0, len(h.addresses))
	for address := range h.addresses {
		list = append(list, address)
	}
	return list
}

// Attempts returns what is held at an address.
func (h *Holdings) Attempts(address string) []port.Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]port.Attempt, 0, len(h.addresses[address]))
	for a := range h.addresses[address] {
		list = append(list, a)
	}
	return list
}

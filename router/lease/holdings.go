package lease

import (
	"sync"

	"gooseberrypin.example/router/port"
)

type (
	// Holdings records where this process holds leases, so that one heartbeat for each
	// address renews them all.
	Holdings struct {
		mu        sync.Mutex
		addresses map[string]map[port.Attempt]int
	}
)

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings {
	return &Holdings{addresses: make(map[string]map[port.Attempt]int)}
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

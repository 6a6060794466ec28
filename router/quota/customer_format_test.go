package quota_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrypin.example/router/quota"
)

// Guards against a total beyond the bound while entries of two versions run side by side: an entry of the earlier version does not
// understand the reports of a later one, whatever the version of the allocator, and entries change their version one by one.
func TestQuotaBoundHoldsDuringAnUpgrade(t *testing.T) {
	load := []float64{0.4, 0.4, 0.4, 0.4, 0.4, 0.4}
	tests := map[string]struct {
		fleet func() customerCase
		// firstOld is whether the allocator is of the earlier version.
		firstOld bool
	}{
		"allocator of the earlier version":           {firstOld: true, fleet: func() customerCase { return customerCase{limit: largeCustomer, bounds: platformBounds} }},
		"allocator of the later version":             {fleet: func() customerCase { return customerCase{limit: largeCustomer, bounds: platformBounds} }},
		"allocator of the earlier version, no slack": {firstOld: true, fleet: noSlackCase},
		"allocator of the later version, no slack":   {fleet: noSlackCase},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := tt.fleet()
				c.load, c.least = load, 0.4
				c.disturb = func(f *fleet) {
					first := f.allocatorEntry()
					later := make(map[*entry]bool)
					for _, e := range f.entries {
						later[e] = e.index%2 == 0
					}
					later[first] = !tt.firstOld
					f.mu.Lock()
					f.refuses = func(from, to *entry) bool { return later[from] && !later[to] }
					f.mu.Unlock()
					time.Sleep(8 * time.Second)
					for _, e := range f.entries {
						if later[e] {
							continue
						}
						e.kill()
						time.Sleep(500 * time.Millisecond)
						f.mu.Lock()
						later[e] = true
						f.mu.Unlock()
						e.start()
						time.Sleep(time.Second)
					}
				}
				c.run(t)
			})
		})
	}
}

func noSlackCase() customerCase {
	return customerCase{
		limit:  quota.CustomerLimit{Name: hotCustomer, PerSecond: 200, Burst: 200},
		bounds: quota.CustomerBounds{Window: 8 * time.Second, Overage: 0.25},
		amount: func(*rand.Rand) float64 { return 1 },
	}
}

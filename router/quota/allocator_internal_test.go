package quota

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	// fixedMembers is a fleet of known entries with one allocator.
	fixedMembers int

	// spender is an entry that spends all that it may.
	spender struct {
		report   CustomerReport
		held     float64
		share    CustomerShare
		answered time.Time
	}

	// silentPeers is an allocator that answers until it is silent.
	silentPeers struct {
		answer CustomerAnswer
		silent bool
	}

	spending struct {
		at     time.Time
		amount float64
	}
)

var errSilent = errors.New("silent")

func (m fixedMembers) Owners(string, int) []string { return []string{"owner"} }
func (m fixedMembers) KnownCount() int             { return int(m) }
func (m fixedMembers) Divisor() int                { return int(m) }

func (p *silentPeers) Report(context.Context, string, CustomerReport) (CustomerAnswer, error) {
	if p.silent {
		return CustomerAnswer{}, errSilent
	}
	return p.answer, nil
}

// spend spends all that the entry may, and returns the amount.
func (s *spender) spend() float64 {
	s.expire()
	if s.held <= 0 {
		return 0
	}
	amount := s.held + s.share.Debt
	s.held -= amount
	return amount
}

// expire drops what the entry holds after grantIntervals without an answer.
func (s *spender) expire() {
	if time.Since(s.answered) > grantIntervals*reportInterval {
		s.held = min(0, s.held)
	}
}

// newOneCustomer returns the quotas of one customer.
func newOneCustomer(perSecond, burst float64) func() CustomerLimits {
	return func() CustomerLimits {
		return CustomerLimits{Version: 1, Limits: []CustomerLimit{{Name: "c", PerSecond: perSecond, Burst: burst}}}
	}
}

// Entries that spend all that they may, lose reports and answers, give amounts back and restart, as the allocator does, never spend more in a window
// than the rate, the capacity and the debt allow.
func TestAllocatorGrantsNoMoreThanItHas(t *testing.T) {
	bounds := CustomerBounds{Window: 8 * time.Second, Overage: 0.25}
	limit := CustomerLimit{Name: "c", PerSecond: 200, Burst: 200}
	d := bounds.divide(limit)
	most := d.perSecond*bounds.Window.Seconds() + d.capacity + d.debt
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(1, 5).Draw(r, "entries")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		restarts, allocatorRestarts := rapid.IntRange(0, 5).Draw(r, "restarts"), rapid.IntRange(0, 1).Draw(r, "allocator restarts")
		quick := rapid.Float64Range(0.001, 1).Draw(r, "quick")
		worst := 0.0
		synctest.Test(t, func(*testing.T) {
			a := NewAllocator(fixedMembers(entries), newOneCustomer(limit.PerSecond, limit.Burst), bounds)
			var spent []spending
			list := make([]spender, entries)
			process := int64(1)
			for i := range list {
				list[i].report = CustomerReport{Entry: string(rune('a' + i)), Process: process}
			}
			for range 600 {
				s := &list[random.IntN(entries)]
				switch action := random.IntN(16); {
				case action < restarts:
					// The process ends after it has spent what it had.
					spent = append(spent, spending{time.Now(), s.spend()})
					process++
					*s = spender{report: CustomerReport{Entry: s.report.Entry, Process: process}}
				case action < restarts+allocatorRestarts:
					a = NewAllocator(fixedMembers(entries), newOneCustomer(limit.PerSecond, limit.Burst), bounds)
				case action < 10:
					spent = append(spent, spending{time.Now(), s.spend()})
				case action == 10:
					time.Sleep(time.Duration(quick * random.ExpFloat64() * float64(2*time.Second)))
				default:
					s.exchange(a, random)
				}
				time.Sleep(time.Duration(quick * random.ExpFloat64() * float64(50*time.Millisecond)))
			}
			worst = worstSpending(spent, bounds.Window)
		})
		if worst > most+1e-6 {
			r.Fatalf("%.1f spent in a window, allowed %.1f", worst, most)
		}
	})
}

// exchange sends a report. Some reports and some answers are lost, and some reports give a part back.
func (s *spender) exchange(a *Allocator, random *rand.Rand) {
	s.expire()
	r := &s.report
	r.Number++
	use := CustomerUse{Name: "c", Want: float64(random.IntN(500)), Demand: 1000}
	if s.held > 2 && random.IntN(2) == 0 {
		use.Returned = math.Floor(s.held / 2)
		s.held -= use.Returned
	}
	use.Held = s.held
	r.Customers = []CustomerUse{use}
	if random.IntN(6) == 0 {
		return
	}
	answer, ok := a.Report(*r)
	if !ok || random.IntN(5) == 0 {
		return
	}
	r.Applied, r.Allocator = r.Number, answer.Allocator
	s.share, s.answered = answer.Customers[0], time.Now()
	s.held += s.share.Grant
}

func worstSpending(spent []spending, window time.Duration) float64 {
	worst, sum, oldest := 0.0, 0.0, 0
	for _, s := range spent {
		sum += s.amount
		for !spent[oldest].at.After(s.at.Add(-window)) {
			sum -= spent[oldest].amount
			oldest++
		}
		worst = max(worst, sum)
	}
	return worst
}

// What an entry holds expires when the allocator is silent, as others may have it by then. The entry then grants its own part,
// which begins empty.
func TestEntryWithoutAllocatorGrantsItsOwnPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &silentPeers{answer: CustomerAnswer{Allocator: 1, Customers: []CustomerShare{{Name: "c", Grant: 500, Target: 500}}}}
		c := NewCustomers("self", fixedMembers(4), p, nil, newOneCustomer(200, 200))
		// Before the first answer, nothing is saved up.
		_, denied := c.Take(t.Context(), "c", 1).(Denied)
		is.True(denied)
		is.Equal(c.report(t.Context()), reportInterval)
		_, allowed := c.Take(t.Context(), "c", 100).(Allowed)
		is.True(allowed)
		p.silent = true
		time.Sleep(grantIntervals*reportInterval + time.Millisecond)
		granted := 0
		for range 1000 {
			if _, allowed := c.Take(t.Context(), "c", 1).(Allowed); allowed {
				granted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		// A quarter of 200 a second for ten seconds.
		is.True(granted >= 490 && granted <= 500)
	})
}

// The grant of an answer that was lost is free again, once. A report that arrives after a later one changes nothing.
func TestGrantOfALostAnswerIsFreeAgainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewAllocator(fixedMembers(2), newOneCustomer(200, 200), CustomerBounds{Window: 8 * time.Second, Overage: 0.25})
		report := func(number, applied int64, want float64) (CustomerShare, bool) {
			answer, ok := a.Report(CustomerReport{
				Entry: "a", Process: 1, Number: number, Applied: applied, Allocator: a.process, Customers: []CustomerUse{{Name: "c", Want: want}},
			})
			if !ok {
				return CustomerShare{}, false
			}
			return answer.Customers[0], true
		}
		report(1, 0, 0)
		time.Sleep(time.Second)
		first, ok := report(2, 1, 10)
		is.True(ok)
		is.True(first.Grant >= 10)
		for number := int64(3); number < 10; number++ {
			again, ok := report(number, 1, 10)
			is.True(ok)
			is.Equal(again.Available, first.Available)
			is.Equal(again.Grant, first.Grant)
		}
		_, ok = report(5, 4, 10)
		is.True(!ok)
	})
}

// A new allocator has nothing saved up and grants half of the rate, as another one may still grant it.
func TestNewAllocatorGrantsHalfOfTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bounds := CustomerBounds{Window: 8 * time.Second, Overage: 0.25}
		a := NewAllocator(fixedMembers(2), newOneCustomer(200, 200), bounds)
		list := []spender{{report: CustomerReport{Entry: "a"}}, {report: CustomerReport{Entry: "b"}}}
		spendFor := func(length time.Duration) float64 {
			sum, random := 0.0, rand.New(rand.NewPCG(1, 1))
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for i := range list {
					list[i].exchange(a, random)
					sum += list[i].spend()
				}
			}
			return sum
		}
		debt := bounds.divide(CustomerLimit{Name: "c", PerSecond: 200, Burst: 200}).debt
		early := spendFor(takeoverTime)
		is.True(early <= takeoverFactor*200*bounds.divide(CustomerLimit{PerSecond: 200, Burst: 200}).partition*takeoverTime.Seconds()+debt)
		is.True(early >= 0.8*takeoverFactor*200*takeoverTime.Seconds())
		is.True(spendFor(4*time.Second) >= 0.9*200*4)
	})
}

// What an entry may have spent just before its report is not granted once more for the time before the report.
func TestTimeBeforeAReportAddsNothingBeyondTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bounds := CustomerBounds{Window: 8 * time.Second, Overage: 0.25}
		a := NewAllocator(fixedMembers(1), newOneCustomer(200, 200), bounds)
		r := CustomerReport{Entry: "a", Process: 1, Allocator: a.process}
		held := 0.0
		report := func(want float64) CustomerShare {
			r.Number++
			r.Customers = []CustomerUse{{Name: "c", Held: held, Want: want, Demand: 200}}
			answer, ok := a.Report(r)
			is.True(ok)
			r.Applied = r.Number
			held += answer.Customers[0].Grant
			return answer.Customers[0]
		}
		for range 40 {
			report(150)
			time.Sleep(500 * time.Millisecond)
		}
		full := report(150).Available
		spent := held
		time.Sleep(time.Second)
		held = 0
		is.True(spent >= 150)
		is.True(report(0).Available <= full-spent+1e-6)
	})
}

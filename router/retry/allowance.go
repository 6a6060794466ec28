package retry

const (
	// plannedFraction is the fraction of an allowance that the entries use in total. The rest is a
	// reserve: the windows of the entries do not begin at the same time, and an entry that has not
	// discovered all others yet takes too large a part.
	plannedFraction = 0.7
	// minBurst is the number of retries that one repeated round of a generation takes: its
	// prefill and its decode.
	minBurst = 2
)

type (
	// Allowance is the number of retries that a whole fleet may send in any time window: Ratio times
	// the requests of the window plus Slack.
	Allowance struct {
		Ratio float64
		Slack float64
	}
)

// PerEntry returns the budget of one of several entries: the fraction of its own first tries that it may
// retry, and the number of retries that it may accumulate.
func (a Allowance) PerEntry(entries int) (fraction float64, burst int) {
	return plannedFraction * a.Ratio, max(minBurst, int(plannedFraction*a.Slack)/max(1, entries))
}

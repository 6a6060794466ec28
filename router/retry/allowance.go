package retry

const (
	// planned is the part of an allowance that its entries plan to use: the windows of several
	// entries do not begin at the same moment, and one may have met the others only in part.
	planned = 0.7
	// leastBurst is one round of a generation that is sent once more.
	leastBurst = 2
)

type (
	// Allowance is what a whole fleet may send again in any window: a ratio of the requests and a
	// fixed number more.
	Allowance struct {
		Ratio float64
		Slack float64
	}
)

// PerEntry returns what one of several entries may use: the fraction of its own requests, and how many
// retries it may save up.
func (a Allowance) PerEntry(entries int) (fraction float64, burst int) {
	return planned * a.Ratio, max(leastBurst, int(planned*a.Slack)/max(1, entries))
}

package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gooseberrypin.example/router/rendezvous"
	"gooseberrypin.example/router/speed"
	"gooseberrypin.example/router/upstream"
)

const (
	// MaxShared bounds the reports in one gossip message.
	MaxShared = 16
	// maxReports bounds the reports that are kept of one upstream.
	maxReports = 8
	// reportHalfLife is the time in which the weight of a report halves.
	reportHalfLife = 3 * time.Second
	// maxReportAge is the age up to which a report is shared.
	maxReportAge = 5 * time.Second
	// minWeight is the weight of reports below which nothing is known of an upstream.
	minWeight = 0.05
)

type (
	// Report is one entry's estimate of the limit of an upstream.
	Report struct {
		// Upstream is the name of the incarnation; see speed.Key. Entry is a hash of the entry's name.
		Upstream uint64
		Entry    uint32
		Limit    float64
		Observed time.Time
	}

	// Figure is the limit of an upstream in a state dump and in the metrics.
	Figure struct {
		Upstream string  `json:"upstream"`
		Pool     string  `json:"pool"`
		Phase    string  `json:"phase"`
		Limit    float64 `json:"limit"`
		InFlight int     `json:"in_flight"`
		Cause    Cause   `json:"cause"`
	}
)

// mean returns the mean of the estimates of this entry and of others, with weights that fall with their age. As it is a mean,
// entries that raise their estimates at the same time do not add up. It returns false if nothing is known.
func (s *limit) mean(now time.Time) (float64, bool) {
	sum, weights := 0.0, 0.0
	add := func(limit float64, at time.Time) {
		weight := math.Exp2(-now.Sub(at).Seconds() / reportHalfLife.Seconds())
		sum += weight * limit
		weights += weight
	}
	if s.answerCount > 0 {
		add(s.own, s.answeredAt)
	}
	for _, r := range s.reports {
		add(r.Limit, r.Observed)
	}
	return max(minLimit, sum/max(weights, minWeight)), weights >= minWeight
}

// Shared returns the reports to send to other entries, the newest first, and at most MaxShared: this entry's and those that it
// has received.
func (l *Limiter) Shared(now time.Time) []Report {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	var reports []Report
	for key, s := range l.limits {
		if s.answerCount > 0 {
			reports = append(reports, Report{Upstream: key, Entry: l.hash(), Limit: s.own, Observed: s.answeredAt})
		}
		reports = append(reports, s.reports...)
	}
	reports = slices.DeleteFunc(reports, func(r Report) bool { return now.Sub(r.Observed) > maxReportAge })
	slices.SortFunc(reports, Report.compare)
	return reports[:min(len(reports), MaxShared)]
}

// hash returns the hash of the entry's name in reports.
func (l *Limiter) hash() uint32 {
	return uint32(rendezvous.Score("pace", l.entry))
}

// compare orders reports from the newest to the oldest.
func (r Report) compare(other Report) int {
	return cmp.Or(other.Observed.Compare(r.Observed), cmp.Compare(r.Entry, other.Entry), cmp.Compare(r.Upstream, other.Upstream))
}

// compareVersion orders the reports of one entry on an upstream from the oldest to the newest.
func (r Report) compareVersion(other Report) int {
	return cmp.Or(r.Observed.Compare(other.Observed), cmp.Compare(other.Limit, r.Limit))
}

// Merge adds reports of other entries. Of each entry the newest one is kept, and of those the newest, so that the order and
// the number of copies make no difference.
func (l *Limiter) Merge(reports []Report, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	for _, r := range reports {
		valid := r.Limit >= minLimit && r.Limit <= maxLimit && r.Entry != l.hash() && now.Sub(r.Observed) <= retention
		s, found := l.limits[r.Upstream]
		if !valid || !found && len(l.limits) >= maxUpstreams {
			continue
		}
		if !found {
			s = &limit{}
			l.limits[r.Upstream] = s
		}
		if r.Observed.After(now) {
			r.Observed = now
		}
		s.merge(r)
	}
}

func (s *limit) merge(r Report) {
	if i := slices.IndexFunc(s.reports, func(known Report) bool { return known.Entry == r.Entry }); i >= 0 {
		if r.compareVersion(s.reports[i]) <= 0 {
			return
		}
		s.reports = slices.Delete(s.reports, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(s.reports, r, Report.compare)
	s.reports = slices.Insert(s.reports, i, r)
	s.reports = s.reports[:min(len(s.reports), maxReports)]
}

// Figures returns the limits of members for the state dump and the metrics.
func (l *Limiter) Figures(members []*upstream.Member, now time.Time) []Figure {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	figures := make([]Figure, 0, len(members))
	for _, m := range members {
		f := Figure{Upstream: m.ID, Pool: m.Pool, Phase: m.Phase.String(), Limit: l.limit(m.Upstream, now), InFlight: m.Load().Requests}
		if s, found := l.limits[speed.Key(m.Upstream)]; found {
			f.Cause = s.cause
		}
		figures = append(figures, f)
	}
	return figures
}

// Package migration decides which running streams move to another engine, because they would not end in time at theirs.
package migration

import (
	"math"
	"sync"
	"time"
)

const (
	// minPauses is the number of pauses between events from which on a stream is judged. A slow engine is known after about a
	// second.
	minPauses = 6
	// pauseWeight is the weight of a new pause in the mean.
	pauseWeight = 0.125
	// maxWriteShare is the largest share of the time of a stream that writes to the caller may take. A caller that reads slowly
	// makes the stream slow at any engine.
	maxWriteShare = 0.1
	// lengthDeviation is the standard deviation of the logarithm of an output's length over its estimate. With 0.5, half of the
	// outputs are within 40 % of their estimates.
	lengthDeviation = 0.5
	// unknownLengthShare is the assumed median of the output's length as a share of its maximum, if there is no estimate.
	unknownLengthShare = 0.5
	// minProbability is the least probability of a length from which on an estimate says something of a stream.
	minProbability = 1e-9
	// minGain is the least increase of the probability of ending in time that is worth the price of a move while as many moves
	// as possible are saved up, and scarceGain that while none is.
	minGain    = 0.2
	scarceGain = 0.5
	// minFinalGain is the least increase when the memory is copied.
	minFinalGain = 0.05
	// minPause bounds pauses for a division.
	minPause = time.Microsecond
	// maxMovedShare bounds the streams that move, as a share of all streams, and maxSavedMoves is the number of moves that
	// may be saved up. Moved streams take the memory of fast engines.
	maxMovedShare = 0.15
	maxSavedMoves = 6
	// initialCopyTime and initialHandover are assumed until moves were measured, and timeWeight is the weight of a measured time.
	initialCopyTime = 150 * time.Millisecond
	initialHandover = 100 * time.Millisecond
	timeWeight      = 0.2
	// remoteCopyFactor is how many times longer a copy to another data centre takes.
	remoteCopyFactor = 2
)

type (
	// Progress measures the events of a stream at one engine. The zero value is a stream without events.
	Progress struct {
		began, last time.Time
		pauses      int
		// pause is the smoothed time between events.
		pause time.Duration
		// writing is the time that writes to the caller have taken.
		writing time.Duration
	}

	// Stream is what is known of a running stream. Its length is counted in events.
	Stream struct {
		// Received is the number of events that the caller has, of all engines.
		Received int
		// Estimate is the estimated length, and Max the largest one; zero if unknown.
		Estimate, Max float64
		// Pause is the time between its events.
		Pause time.Duration
		// Remaining is the time that its caller still waits.
		Remaining time.Duration
	}

	// Destination is another engine as seen by a stream.
	Destination struct {
		// Pause is the expected time between events at the engine.
		Pause time.Duration
		// Remote is whether the engine is in another data centre than the current one.
		Remote bool
	}

	// Planner decides for the streams of one pool. It is safe for concurrent use.
	Planner struct {
		mu sync.Mutex
		// allowed is the number of moves that may begin now, with fractions.
		allowed float64
		// copyTime is how long copies within a data centre take while the stream continues, and handover the pause after that
		// until the next event of the stream.
		copyTime, handover time.Duration
	}
)

// NewPlanner returns a planner that knows no streams.
func NewPlanner() *Planner {
	return &Planner{copyTime: initialCopyTime, handover: initialHandover}
}

// Received adds an event that was received at a time, and the time that its write to the caller took.
func (p *Progress) Received(at time.Time, writing time.Duration) {
	if p.began.IsZero() {
		p.began, p.last = at, at
		return
	}
	pause := at.Sub(p.last)
	p.last = at
	p.pauses++
	p.writing += writing
	if p.pauses <= minPauses {
		p.pause = at.Sub(p.began) / time.Duration(p.pauses)
		return
	}
	p.pause += time.Duration(pauseWeight * float64(pause-p.pause))
}

// Pause returns the time between the events of the stream, or false if there were too few of them or if the caller reads slowly.
func (p *Progress) Pause() (time.Duration, bool) {
	if p.pauses < minPauses || float64(p.writing) > maxWriteShare*float64(p.last.Sub(p.began)) {
		return 0, false
	}
	return p.pause, true
}

// Began records that a stream has begun, which allows a share of a move.
func (p *Planner) Began() { p.allow(maxMovedShare) }

// Return gives back a move that was not made.
func (p *Planner) Return() { p.allow(1) }

func (p *Planner) allow(moves float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowed = min(maxSavedMoves, p.allowed+moves)
}

// Reserve takes a move from those that are allowed. It returns false if none is left.
func (p *Planner) Reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allowed < 1 {
		return false
	}
	p.allowed--
	return true
}

// EndsInTime returns the probability that a stream ends in time if it stays at its engine.
func (s Stream) EndsInTime() float64 {
	return s.endsWithin(s.Remaining.Seconds() / max(s.Pause.Seconds(), minPause.Seconds()))
}

// IsWorthwhile reports whether a move to an engine makes it so much more probable that a stream ends in time that it is worth its
// price.
func (p *Planner) IsWorthwhile(s Stream, d Destination) bool {
	p.mu.Lock()
	required := scarceGain - (scarceGain-minGain)*min(1, p.allowed/maxSavedMoves)
	copyTime := p.copyTime
	p.mu.Unlock()
	return p.gain(s, d, copyTime) >= required
}

// IsStillWorthwhile reports whether a stream whose memory was copied to an engine should continue there. The price is paid, and
// only the pause counts.
func (p *Planner) IsStillWorthwhile(s Stream, d Destination) bool {
	return p.gain(s, d, 0) >= minFinalGain
}

// gain returns by how much the probability that a stream ends in time increases if it moves, after a copy within a data centre that
// takes a time.
func (p *Planner) gain(s Stream, d Destination, copyTime time.Duration) float64 {
	p.mu.Lock()
	handover := p.handover
	p.mu.Unlock()
	if d.Remote {
		copyTime *= remoteCopyFactor
		handover *= remoteCopyFactor
	}
	left := s.Remaining - copyTime - handover
	if left <= 0 {
		return 0
	}
	events := copyTime.Seconds()/max(s.Pause.Seconds(), minPause.Seconds()) + left.Seconds()/max(d.Pause.Seconds(), minPause.Seconds())
	return s.endsWithin(events) - s.EndsInTime()
}

// Copied records how long a copy took while the stream continued.
func (p *Planner) Copied(took time.Duration, remote bool) { p.record(&p.copyTime, took, remote) }

// HandedOver records the pause of a stream from the end of the copy to its next event.
func (p *Planner) HandedOver(took time.Duration, remote bool) { p.record(&p.handover, took, remote) }

func (p *Planner) record(mean *time.Duration, took time.Duration, remote bool) {
	if remote {
		took /= remoteCopyFactor
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	*mean += time.Duration(timeWeight * float64(took-*mean))
}

// IsAtRisk reports whether a move may be worthwhile at all.
func (s Stream) IsAtRisk() bool { return s.EndsInTime() <= 1-minGain }

// Left returns the expected number of further events, the median; 0 if nothing is known of the length.
func (s Stream) Left() float64 {
	median := s.median()
	if median <= 0 {
		return 0
	}
	received := float64(s.Received)
	length := median * math.Exp(lengthDeviation*math.Sqrt2*math.Erfinv(1-longerThan(received, median)))
	if s.Max > 0 {
		length = min(length, s.Max)
	}
	return max(0, min(length, 2*received+median)-received)
}

// endsWithin returns the probability that a stream has at most a number of further events, given that it has not ended yet.
func (s Stream) endsWithin(events float64) float64 {
	received, median := float64(s.Received), s.median()
	if s.Max > 0 && received+events >= s.Max || median <= 0 {
		return 1
	}
	now := longerThan(received, median)
	if now < minProbability {
		return 0
	}
	return 1 - longerThan(received+events, median)/now
}

// median returns the median of the length; 0 if nothing is known of it.
func (s Stream) median() float64 {
	if s.Estimate > 0 {
		return s.Estimate
	}
	return unknownLengthShare * s.Max
}

// longerThan returns the probability that a stream is longer than a length.
func longerThan(length, median float64) float64 {
	if length <= 0 {
		return 1
	}
	return math.Erfc(math.Log(length/median)/(lengthDeviation*math.Sqrt2)) / 2
}

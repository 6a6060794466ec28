package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/prefill"
)

const (
	prefillServerCount     = 2
	prefillTokensPerS      = 40_000
	decodeServerCount      = 7
	decodePieces           = 64
	pieceTokens            = 4096
	stepBase               = 20 * time.Millisecond
	stepPerStream          = 500 * time.Microsecond
	kvBytesPerToken        = 128 << 10
	linkBytesPerS          = 10e9
	kvLifetime             = 800 * time.Millisecond
	promptMedianTokens     = 1200
	promptSigma            = 0.9
	promptMinTokens        = 64
	promptMaxTokens        = 8192
	outputMeanTokens       = 211
	outputSigma            = 0.8
	outputMinTokens        = 8
	outputMaxTokens        = 1024
	sharedPrefixCount      = 40
	sharedPrefixTokens     = 1024
	sharedPrefixFraction   = 0.5
	engineCacheBlocks      = 1024
	reportDelay            = 500 * time.Millisecond
	reportInterval         = 100 * time.Millisecond
	cacheEventDelay        = time.Second
	cacheEventLossFraction = 0.05
	partnerCount           = 24
	entryCount             = 3
	// MeasuredDuration is the measured time of the benchmark.
	MeasuredDuration      = 120 * time.Second
	warmUp                = 20 * time.Second
	drainTime             = 45 * time.Second
	clientDelay           = 3 * time.Millisecond
	hopDelay              = 500 * time.Microsecond
	resendAfter           = time.Second
	resendGranularity     = time.Millisecond
	callerTimeout         = 2 * time.Second
	firstTokenTarget      = 380 * time.Millisecond
	betweenTokensTarget   = 37 * time.Millisecond
	maxLateGapFraction    = 0.05
	callerCancelFraction  = 0.10
	maxCallerCancelDelay  = time.Second
	transferStallFraction = 0.05
	sizeSamples           = 20_000
	microsecondsPerS      = 1e6
)

type (
	// size is the prompt and the output length of a request.
	size struct {
		prompt       prefill.Prompt
		outputTokens int
		// sharedTokens is the number of prompt tokens in a prefix that other prompts share.
		sharedTokens int
	}

	// workload draws the sizes of requests from log-normal distributions.
	workload struct {
		random    *rand.Rand
		lastBlock uint64
		prefixes  [][]uint64
	}
)

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for range sharedPrefixCount {
		w.prefixes = append(w.prefixes, w.blocks(sharedPrefixTokens/prefill.BlockTokens))
	}
	return w
}

// draw returns the sizes of n requests.
func (w *workload) draw(n int) []size {
	sizes := make([]size, 0, n)
	for range n {
		sizes = append(sizes, w.drawOne())
	}
	return sizes
}

func (w *workload) drawOne() size {
	s := size{
		prompt:       prefill.Prompt{Tokens: w.logNormal(math.Log(promptMedianTokens), promptSigma, promptMinTokens, promptMaxTokens)},
		outputTokens: w.logNormal(math.Log(outputMeanTokens)-outputSigma*outputSigma/2, outputSigma, outputMinTokens, outputMaxTokens),
	}
	fullBlocks := s.prompt.Tokens / prefill.BlockTokens
	if w.random.Float64() < sharedPrefixFraction {
		prefix := w.prefixes[w.random.IntN(len(w.prefixes))]
		s.prompt.Blocks = append(s.prompt.Blocks, prefix[:min(len(prefix), fullBlocks)]...)
		s.sharedTokens = min(len(s.prompt.Blocks)*prefill.BlockTokens, s.prompt.Tokens-1)
	}
	s.prompt.Blocks = append(s.prompt.Blocks, w.blocks(fullBlocks-len(s.prompt.Blocks))...)
	return s
}

// logNormal returns a rounded random value of a log-normal distribution, limited to low and high.
func (w *workload) logNormal(mu, sigma float64, low, high int) int {
	value := math.Exp(mu + sigma*w.random.NormFloat64())
	return min(max(low, int(math.Round(value))), high)
}

// blocks returns n blocks that no other prompt has.
func (w *workload) blocks(n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		w.lastBlock++
		blocks[i] = w.lastBlock
	}
	return blocks
}

// capacity returns the highest rate, in requests per second, that a perfect scheduler reaches. It is the smaller of two
// rates:
//
//	prefill = servers x tokens/s / mean uncached prompt tokens, each shared prefix cached
//	decode  = servers x B / step(B) / mean output tokens, where B is the largest batch
//	          that meets the target for the time between tokens and fits into memory
func capacity(sizes []size) float64 {
	uncached, output, pieces := 0.0, 0.0, 0.0
	for _, s := range sizes {
		uncached += float64(s.prompt.Tokens - s.sharedTokens)
		output += float64(s.outputTokens)
		pieces += float64((s.prompt.Tokens + s.outputTokens + pieceTokens - 1) / pieceTokens)
	}
	n := float64(len(sizes))
	batch := min(int((betweenTokensTarget-stepBase)/stepPerStream), int(decodePieces/(pieces/n)))
	prefillRate := prefillServerCount * prefillTokensPerS / (uncached / n)
	decodeRate := decodeServerCount * float64(batch) / stepDuration(batch).Seconds() / (output / n)
	return min(prefillRate, decodeRate)
}

// stepDuration returns the time in which a decode engine generates one token of each stream of a batch.
func stepDuration(batch int) time.Duration {
	return stepBase + time.Duration(batch)*stepPerStream
}

package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"gooseberrypin.example/router/prefill"
)

const (
	prefillServers       = 2
	prefillTokensPerS    = 40_000
	decodeServers        = 7
	decodePieces         = 64
	pieceTokens          = 4096
	stepBase             = 20 * time.Millisecond
	stepPerStream        = 500 * time.Microsecond
	kvBytesPerToken      = 128 << 10
	linkBytesPerS        = 10e9
	kvLife               = 800 * time.Millisecond
	promptMedian         = 1200
	promptSigma          = 0.9
	promptMinTokens      = 64
	promptMaxTokens      = 8192
	outputMean           = 211
	outputSigma          = 0.8
	outputMinTokens      = 8
	outputMaxTokens      = 1024
	sharedPrefixes       = 40
	sharedPrefixTokens   = 1024
	sharedPrefixFraction = 0.5
	engineCacheBlocks    = 1024
	reportLag            = 500 * time.Millisecond
	reportInterval       = 100 * time.Millisecond
	cacheEventLag        = time.Second
	cacheEventLoss       = 0.05
	partners             = 24
	entries              = 3
	// Measured is the usual time that is measured.
	Measured            = 120 * time.Second
	warmUp              = 20 * time.Second
	drain               = 45 * time.Second
	clientDelay         = 3 * time.Millisecond
	hopDelay            = 500 * time.Microsecond
	resendAfter         = time.Second
	resendTick          = time.Millisecond
	patience            = 2 * time.Second
	firstTokenTarget    = 380 * time.Millisecond
	betweenTokensTarget = 37 * time.Millisecond
	lateGapFraction     = 0.05
	cancelFraction      = 0.10
	cancelWithin        = time.Second
	transferStalls      = 0.05
	drawn               = 20_000
	microsecondsPerS    = 1e6
)

type (
	// size is what a request needs.
	size struct {
		prompt prefill.Prompt
		output int
		// shared are the tokens of a prefix that other prompts have as well.
		shared int
	}

	// workload draws the sizes of requests.
	workload struct {
		random   *rand.Rand
		block    uint64
		prefixes [][]uint64
	}
)

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for range sharedPrefixes {
		w.prefixes = append(w.prefixes, w.blocks(sharedPrefixTokens/prefill.BlockTokens))
	}
	return w
}

// draw returns the sizes of n requests.
func (w *workload) draw(n int) []size {
	sizes := make([]size, 0, n)
	for range n {
		sizes = append(sizes, w.one())
	}
	return sizes
}

func (w *workload) one() size {
	s := size{
		prompt: prefill.Prompt{Tokens: w.logNormal(math.Log(promptMedian), promptSigma, promptMinTokens, promptMaxTokens)},
		output: w.logNormal(math.Log(outputMean)-outputSigma*outputSigma/2, outputSigma, outputMinTokens, outputMaxTokens),
	}
	whole := s.prompt.Tokens / prefill.BlockTokens
	if w.random.Float64() < sharedPrefixFraction {
		prefix := w.prefixes[w.random.IntN(len(w.prefixes))]
		s.prompt.Blocks = append(s.prompt.Blocks, prefix[:min(len(prefix), whole)]...)
		s.shared = min(len(s.prompt.Blocks)*prefill.BlockTokens, s.prompt.Tokens-1)
	}
	s.prompt.Blocks = append(s.prompt.Blocks, w.blocks(whole-len(s.prompt.Blocks))...)
	return s
}

func (w *workload) logNormal(mu, sigma float64, low, high int) int {
	value := math.Exp(mu + sigma*w.random.NormFloat64())
	return min(max(low, int(math.Round(value))), high)
}

func (w *workload) blocks(n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		w.block++
		blocks[i] = w.block
	}
	return blocks
}

// capacity is the rate of requests a second that a perfect scheduler reaches, the
// smaller of two rates:
//
//	prefill = servers x tokens/s / mean uncached prompt tokens, each shared prefix cached
//	decode  = servers x B / step(B) / mean output tokens, where B is the largest batch
//	          that meets the time between tokens and fits into memory
func capacity(sizes []size) float64 {
	uncached, output, pieces := 0.0, 0.0, 0.0
	for _, s := range sizes {
		uncached += float64(s.prompt.Tokens - s.shared)
		output += float64(s.output)
		pieces += float64((s.prompt.Tokens + s.output + pieceTokens - 1) / pieceTokens)
	}
	n := float64(len(sizes))
	batch := min(int((betweenTokensTarget-stepBase)/stepPerStream), int(decodePieces/(pieces/n)))
	prefillRate := prefillServers * prefillTokensPerS / (uncached / n)
	decodeRate := decodeServers * float64(batch) / step(batch).Seconds() / (output / n)
	return min(prefillRate, decodeRate)
}

// step is the time that a decode engine needs for one token of each stream of a batch.
func step(batch int) time.Duration {
	return stepBase + time.Duration(batch)*stepPerStream
}

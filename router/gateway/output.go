package gateway

// WithExceededShare sets the share of outputs that may exceed what is reserved for them, by the lengths that outputs of the pool
// had beside those that their callers stated. By default a fixed multiple of the stated length is reserved.
func WithExceededShare(share float64) Option {
	return func(g *Gateway) { g.exceededShare = share }
}

// reservationTokens returns the number of tokens to reserve for the generation.
func (n *generation) reservationTokens() int {
	g, share := n.request.Generation, n.gateway.exceededShare
	if share == 0 || g.LengthHint <= 0 {
		return g.reservationTokens()
	}
	output := n.poolState.lengths.Quantile(g.LengthHint, share)
	if g.MaxOutputTokens > 0 {
		output = min(output, g.MaxOutputTokens)
	}
	return g.PromptTokens + output
}

// recordLength records the length of the output of a complete stream, of which the caller had received nothing before.
func (n *generation) recordLength() {
	if engine := n.pool.Engine; engine != nil && n.request.LastEventID == "" {
		n.poolState.lengths.Record(n.request.Generation.LengthHint, n.record.Events*engine.TokensPerEvent)
	}
}

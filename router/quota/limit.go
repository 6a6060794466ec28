// Package quota holds the limits that upstreams state for the requests of all entries together, and divides them
// among the entries. One entry, the owner of an upstream's quota, grants requests to all entries.
package quota

import "time"

type (
	// Statement is what one answer of an upstream states about its limit: Limited, Unlimited or Unstated.
	//
	//sumtype:decl
	Statement interface{ statement() }

	// Limited states how many requests a second the upstream takes from all entries together.
	Limited struct{ PerSecond float64 }

	// Unlimited is the statement of a served request's answer without a limit.
	Unlimited struct{}

	// Unstated is the statement of an answer that neither states a limit nor ends one, such as a rejection.
	Unstated struct{}

	// Limit is the latest known statement of one incarnation of an upstream.
	Limit struct {
		// Upstream is the name of the incarnation.
		Upstream string `json:"upstream"`
		// Stated is whether the upstream states a limit. If not, an earlier limit has ended.
		Stated bool `json:"stated"`
		// PerSecond is the limit, in requests a second.
		PerSecond float64 `json:"per_second"`
		// Since is when the upstream first stated a limit, without an end since then.
		Since time.Time `json:"since"`
		// Observed is when an entry received the statement.
		Observed time.Time `json:"observed"`
	}
)

func (Limited) statement()   {}
func (Unlimited) statement() {}
func (Unstated) statement()  {}

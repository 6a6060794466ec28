package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/claim"
)

func request(keeper, unreachable string) claim.Request {
	return claim.Request{KeyDigest: "k", ContentDigest: "c", Keeper: keeper, KeeperAddress: keeper + ":1", Unreachable: unreachable}
}

func TestClaim(t *testing.T) {
	now := time.UnixMilli(1_000)
	held := claim.Held{Keeper: "a", KeeperAddress: "a:1"}
	cases := map[string]struct {
		asks claim.Request
		want string
	}{
		"the same keeper again":      {request("a", ""), "claim.Granted"},
		"another keeper":             {request("b", ""), "claim.Held"},
		"a wrong unreachable keeper": {request("b", "c"), "claim.Held"},
		"the keeper is unreachable":  {request("b", "a"), "claim.Granted"},
		"other content":              {claim.Request{KeyDigest: "k", ContentDigest: "d", Keeper: "a"}, "claim.Refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := claim.NewTable()
			first := table.Claim(request("a", ""), now).(claim.Granted)
			got := table.Claim(c.asks, now)
			is.Equal(fmt.Sprintf("%T", got), c.want)
			if h, ok := got.(claim.Held); ok {
				is.Equal(h, held)
			}
			if g, ok := got.(claim.Granted); ok {
				is.True(g.Number > first.Number)
			}
		})
	}
}

func TestFullTableRefusesAndKeepsWhatItHas(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000)
	table := claim.NewTable(claim.WithCapacity(16), claim.WithRetention(time.Minute))
	refused := 0
	for i := range 200 {
		q := request("a", "")
		q.KeyDigest = fmt.Sprint(i)
		if _, no := table.Claim(q, now).(claim.Refused); no {
			refused++
		}
	}
	is.Equal(table.Len()+refused, 200)
	is.True(table.Len() <= 16)
}

// TestOneKeeperSettles holds random histories of keepers, some of which can't reach each
// other, against the rule that a key is answered once. Without the claim each keeper
// that works on the key would answer.
func TestOneKeeperSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := claim.NewTable()
		now := time.UnixMilli(1_000)
		type work struct {
			keeper string
			number uint64
		}
		var granted []work
		keepers := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(granted) > 0 && rapid.Bool().Draw(t, "settle") {
				w := rapid.SampledFrom(granted).Draw(t, "work")
				table.Settle("k", w.keeper, w.number, true, now)
				continue
			}
			k := rapid.SampledFrom(keepers).Draw(t, "keeper")
			if g, ok := table.Claim(request(k, rapid.SampledFrom(keepers).Draw(t, "lost")), now).(claim.Granted); ok {
				granted = append(granted, work{k, g.Number})
			}
		}
		final := map[work]bool{}
		for _, w := range granted {
			if table.Settle("k", w.keeper, w.number, true, now) == claim.Settled {
				final[w] = true
			}
		}
		if len(final) > 1 {
			t.Fatalf("%d attempts could answer", len(final))
		}
	})
}

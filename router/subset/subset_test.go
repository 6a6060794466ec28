package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/subset"
)

func members(n int) []subset.Member {
	list := make([]subset.Member, n)
	for i := range list {
		list[i] = subset.Member{Name: fmt.Sprintf("server-%d", i), DataCentre: fmt.Sprint(i % 7)}
	}
	return list
}

func TestSelect(t *testing.T) {
	for name, test := range map[string]struct {
		members int
		near    int
		want    int
	}{
		"fewer members than the size":       {members: 9, near: 2, want: 9},
		"filled up from other data centres": {members: 70, near: 10, want: 16},
		"own data centre only":              {members: 2100, near: 16, want: 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := members(test.members)
			got := subset.Select("entry-1", "1", all, subset.MaxSize)
			is.Equal(len(got), test.want)
			near := slices.DeleteFunc(slices.Clone(all), func(m subset.Member) bool { return m.DataCentre != "1" })
			for _, name := range got[:min(test.near, len(near))] {
				is.True(slices.ContainsFunc(near, func(m subset.Member) bool { return m.Name == name }))
			}
			is.Equal(got, subset.Select("entry-1", "1", all, subset.MaxSize)) // deterministic
		})
	}
}

// TestSelectReplaces checks that the removal of a selected member replaces that member only.
func TestSelectReplaces(t *testing.T) {
	is := is.New(t)
	all := members(2100)
	before := subset.Select("entry-1", "1", all, subset.MaxSize)
	left := slices.DeleteFunc(all, func(m subset.Member) bool { return m.Name == before[3] })
	after := subset.Select("entry-1", "1", left, subset.MaxSize)
	kept := 0
	for _, name := range after {
		if slices.Contains(before, name) {
			kept++
		}
	}
	is.Equal(kept, subset.MaxSize-1)
}

// BenchmarkSelect measures a selection, which is made once for each change of a pool and not for each
// request.
func BenchmarkSelect(b *testing.B) {
	for _, servers := range []int{30, 2100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			all := members(servers)
			b.ReportAllocs()
			for b.Loop() {
				subset.Select("entry-1", "1", all, subset.MaxSize)
			}
		})
	}
}

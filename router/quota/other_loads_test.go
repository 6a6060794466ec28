package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/quota"
)

type (
	// reportingEntries is a fleet of four entries that report to one of them.
	reportingEntries struct{ lostOwner }
)

func (reportingEntries) Owners(string, int) []string { return []string{"self"} }

// An entry must know the loads of customers that it gets no requests of, as fair shares need those of all.
func TestAnswerHasLoadsOfOtherCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := quota.CustomerLimits{Version: 1, Limits: []quota.CustomerLimit{{Name: "line", PerSecond: 100}, {Name: "mesh", PerSecond: 100}, {Name: "idle", PerSecond: 100}}}
		a := quota.NewAllocator(reportingEntries{}, func() quota.CustomerLimits { return limits }, quota.CustomerBounds{Window: time.Second})
		_, ok := a.Report(quota.CustomerReport{Entry: "a", Process: 1, Number: 1, Customers: []quota.CustomerUse{{Name: "line", Demand: 40, Granted: 30}}})
		is.True(ok)
		answer, ok := a.Report(quota.CustomerReport{Entry: "b", Process: 2, Number: 1, Customers: []quota.CustomerUse{{Name: "mesh", Demand: 5, Granted: 5}}})
		is.True(ok)
		is.Equal(answer.Others, []quota.CustomerLoad{{Name: "line", Demand: 40, Granted: 30}})
	})
}

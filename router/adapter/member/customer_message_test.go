package member

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/quota"
)

// Guards against amounts that change on their way, which would let entries spend more than they were granted, and against rates
// that are off by more than the steps of a quantity.
func TestCompactMessages(t *testing.T) {
	amount := rapid.OneOf(rapid.Just(0.0), rapid.Map(rapid.IntRange(0, 1<<40), func(n int) float64 { return float64(n) }), rapid.Float64Range(0, 1e12))
	rate := rapid.OneOf(rapid.Just(0.0), rapid.Map(rapid.IntRange(0, 20_000), func(n int) float64 { return float64(n) / 10 }), rapid.Float64Range(0, 1e9))
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(r)
		report := quota.CustomerReport{
			Entry: "10.1.0.2:8144", Process: rapid.Int64().Draw(r, "process"), Number: rapid.Int64Min(0).Draw(r, "number"),
			Applied: rapid.Int64Min(0).Draw(r, "applied"), Allocator: rapid.Int64().Draw(r, "allocator"), Early: rapid.Bool().Draw(r, "early"),
		}
		answer := quota.CustomerAnswer{
			Allocator: rapid.Int64().Draw(r, "answering"), Interval: 500 * time.Millisecond, EarlyGap: 20 * time.Millisecond,
			Customers: []quota.CustomerShare{},
		}
		customers := map[customerName]string{}
		var names []string
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,8}"), 0, 20, rapid.ID).Draw(r, "names") {
			customers[nameOfCustomer(name)] = name
			names = append(names, name)
			report.Customers = append(report.Customers, quota.CustomerUse{
				Name: name, Held: amount.Draw(r, "held") - amount.Draw(r, "owed"), Returned: amount.Draw(r, "returned"), Want: amount.Draw(r, "want"),
				Demand: rate.Draw(r, "demand"), Granted: rate.Draw(r, "granted") - rate.Draw(r, "given back"),
			})
			if rapid.Bool().Draw(r, "known") {
				answer.Customers = append(answer.Customers, quota.CustomerShare{
					Name: name, Grant: amount.Draw(r, "grant"), Target: rate.Draw(r, "target"), Debt: rate.Draw(r, "debt"), PerSecond: rate.Draw(r, "rate"),
					Short: rapid.Bool().Draw(r, "short"), Available: rate.Draw(r, "available") - rate.Draw(r, "spent"), Demand: rate.Draw(r, "load"), Granted: rate.Draw(r, "use"),
				})
			}
		}
		if rapid.Bool().Draw(r, "others") {
			answer.Others = []quota.CustomerLoad{{Name: "other", Demand: rate.Draw(r, "other"), Granted: rate.Draw(r, "other granted")}}
		}
		gotReport, err := decodeReport(encodeReport(report), func(n customerName) string { return customers[n] })
		is.NoErr(err)
		is.Equal(len(gotReport.Customers), len(report.Customers))
		for i, u := range report.Customers {
			got := &gotReport.Customers[i]
			closeTo(r, u.Demand, got.Demand)
			closeTo(r, u.Granted, got.Granted)
			got.Demand, got.Granted = u.Demand, u.Granted
		}
		is.Equal(gotReport, report)
		gotAnswer, err := decodeAnswer(encodeAnswer(answer, names), names)
		is.NoErr(err)
		is.Equal(len(gotAnswer.Customers), len(answer.Customers))
		for i, s := range answer.Customers {
			got := &gotAnswer.Customers[i]
			for _, pair := range [][2]float64{{s.Target, got.Target}, {s.Debt, got.Debt}, {s.PerSecond, got.PerSecond}, {s.Available, got.Available}, {s.Demand, got.Demand}, {s.Granted, got.Granted}} {
				closeTo(r, pair[0], pair[1])
			}
			got.Target, got.Debt, got.PerSecond, got.Available, got.Demand, got.Granted = s.Target, s.Debt, s.PerSecond, s.Available, s.Demand, s.Granted
		}
		for i, l := range answer.Others {
			closeTo(r, l.Demand, gotAnswer.Others[i].Demand)
			gotAnswer.Others[i] = l
		}
		is.Equal(gotAnswer, answer)
	})
}

// closeTo fails unless a value arrived rounded towards zero, by one step of a quantity at most.
func closeTo(r *rapid.T, sent, got float64) {
	most := 0.1001
	if magnitude := math.Abs(sent); magnitude >= firstWhole {
		most = max(1.001, 0.0015*magnitude)
	}
	if math.Abs(got) > math.Abs(sent)*(1+1e-8)+1e-6 || math.Abs(sent-got) > most {
		r.Fatalf("%v arrived as %v", sent, got)
	}
}

// Guards against a message that is cut off, damaged or of another format: it must fail, or have usable values, and never panic.
func TestDamagedCompactMessages(t *testing.T) {
	names := []string{"hule000", "hule001"}
	report := encodeReport(customerReport("10.1.0.2:8144", 3, 2))
	answer := encodeAnswer(quota.CustomerAnswer{Customers: []quota.CustomerShare{{Name: names[0], Grant: 70, Target: 900}, {Name: names[1]}}}, names)
	rapid.Check(t, func(r *rapid.T) {
		damage := func(content []byte) []byte {
			content = bytes.Clone(content[:rapid.IntRange(0, len(content)).Draw(r, "length")])
			for range rapid.IntRange(0, 4).Draw(r, "changes") {
				if len(content) > 0 {
					content[rapid.IntRange(0, len(content)-1).Draw(r, "at")] = rapid.Byte().Draw(r, "byte")
				}
			}
			return append(content, rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(r, "more")...)
		}
		if got, err := decodeReport(damage(report), func(customerName) string { return "" }); err == nil {
			for _, u := range got.Customers {
				if u.Returned < 0 || u.Want < 0 || u.Demand < 0 || math.IsNaN(u.Held) || math.IsInf(u.Held, 0) {
					r.Fatalf("%+v", u)
				}
			}
		}
		if got, err := decodeAnswer(damage(answer), names); err == nil {
			for _, s := range got.Customers {
				if s.Grant < 0 || s.Target < 0 || s.Debt < 0 || s.PerSecond < 0 || math.IsInf(s.Grant, 0) {
					r.Fatalf("%+v", s)
				}
			}
		}
	})
}

// Guards against upgrades in which entries of two versions stop each other: an entry that sends JSON gets its answer in JSON, and
// an entry that only knows JSON refuses a compact report, so that its sender uses its own part.
func TestFormatsSideBySide(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(NewCustomerQuotaHandler(newAllocator(5, 16), event.Discard()))
	defer server.Close()
	earlier := newReportMessage(customerReport("10.1.0.3:8144", 1, 16))
	content, err := json.Marshal(earlier)
	is.NoErr(err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+CustomerQuotaPath, bytes.NewReader(content))
	is.NoErr(err)
	response, err := server.Client().Do(request)
	is.NoErr(err)
	defer func() { is.NoErr(response.Body.Close()) }()
	var m answerMessage
	is.NoErr(json.NewDecoder(response.Body).Decode(&m))
	is.Equal(len(m.answer(earlier.Names).Customers), 16)

	// What an entry of the earlier version does with a report.
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m reportMessage
		if json.NewDecoder(r.Body).Decode(&m) != nil || m.Entry == "" {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer old.Close()
	client := NewClient(old.Client())
	_, err = client.Report(t.Context(), old.Listener.Addr().String(), customerReport("10.1.0.2:8144", 1, 16))
	is.True(err != nil)
}

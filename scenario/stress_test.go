package scenario

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/scenario/fleet"
	"gooseberrypin.example/standin/partner"
)

const (
	stressSeed        = 7
	stressRequests    = 2000
	stressConcurrency = 1000
	stressKills       = 12
	killInterval      = 400 * time.Millisecond
	restartDelay      = 300 * time.Millisecond
	stressTimeout     = 90 * time.Second
	releaseTimeout    = 10 * time.Second
)

var serviceNames = []string{"service1", "service2", "service3"}

// TestStress sends requests with a concurrency of 1000 while it kills and restarts random processes. It then
// checks that no key ran or was answered twice, that each answer is complete, that calls refused as "did not
// run" did not run, and that the engines hold no streams.
func TestStress(t *testing.T) {
	tolerant := is.New(tolerateKnownRed(t))
	is := is.New(t)
	shared.fleetSlots <- struct{}{}
	defer func() { <-shared.fleetSlots }()
	f, err := fleet.New(fleet.Layout{Entries: 3, Prefill: 2, Decode: 3, Services: 3}, t.TempDir(), shared.binaries,
		fleet.WithHost(shared.host()), fleet.WithEngineArguments("--step-ms", "4", "--step-per-stream-us", "100"))
	is.NoErr(err)
	defer f.Close()
	is.NoErr(f.Start())
	ctx, cancel := context.WithTimeout(t.Context(), stressTimeout)
	defer cancel()

	killResult := make(chan error, 1)
	go func() { killResult <- killAtRandom(ctx, f, rand.New(rand.NewPCG(stressSeed, stressSeed))) }()
	client := partner.New(fleet.Credential("varal"), callerAddresses(t, f), partner.WithMaxAttempts(12))
	report := client.Run(ctx, partner.Load{
		Requests:        stressRequests,
		Concurrency:     stressConcurrency,
		Kind:            partner.KindMixed,
		Models:          []string{fleet.Model},
		Services:        []string{fleet.BookingService},
		Path:            "/bookings",
		MaxOutputTokens: 40,
		Seed:            stressSeed,
	})
	is.NoErr(<-killResult)
	t.Logf("requests=%d answered=%d refused=%d cut=%d resends=%d duplicates=%d mismatches=%d reasons=%v first_token_ms=%+v",
		report.Requests, report.Answered, report.Refused, report.Failed, report.Resends, report.Duplicates,
		report.Mismatches, report.Reasons, report.FirstTokenMS)
	is.Equal(report.Requests, stressRequests)
	is.True(report.Answered > 0)
	checkRuns(t, f, report)
	is.Equal(report.Mismatches, 0) // each answer is complete and belongs to its request
	awaitNoStreams(t, f)
	tolerant.Equal(report.DuplicateKeys, []string{}) // no request is answered twice
}

// killAtRandom kills a random process every killInterval, stressKills times in total, and restarts it after
// restartDelay.
func killAtRandom(ctx context.Context, f *fleet.Fleet, random *rand.Rand) error {
	names := killable(f.Names())
	ticker := time.NewTicker(killInterval)
	defer ticker.Stop()
	for range stressKills {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		name := names[random.IntN(len(names))]
		p, err := f.Process(name)
		if err != nil {
			return err
		}
		if err := p.Kill(); err != nil {
			return err
		}
		<-time.After(restartDelay)
		if err := f.StartProcess(name); err != nil {
			return err
		}
	}
	return nil
}

// killable returns the names without the platform and without the services. A service that restarts
// would lose its count of runs.
func killable(names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool {
		return name == fleet.PlatformName || slices.Contains(serviceNames, name)
	})
}

// checkRuns checks that no key ran more than once at the services, and that no key ran whose tries were all
// refused as "did not run".
func checkRuns(t *testing.T, f *fleet.Fleet, report partner.Report) {
	t.Helper()
	is := is.New(t)
	runs := make(map[string]int)
	for _, name := range serviceNames {
		var counts map[string]int
		readPage(t, f, name, "/runs", &counts)
		for key, n := range counts {
			runs[key] += n
		}
	}
	for _, k := range report.DuplicateKeys {
		t.Logf("duplicate %s runs=%d", k, runs[k])
	}
	t.Logf("keys run=%d did_not_run_keys=%d", len(runs), len(report.DidNotRunKeys))
	for key, n := range runs {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, key := range report.DidNotRunKeys {
		is.Equal(key+":"+string(rune('0'+runs[key])), key+":0") // a key refused as "did not run" has no run
	}
}

// awaitNoStreams waits up to releaseTimeout for each engine to hold no stream, and thus no memory of a request.
func awaitNoStreams(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	deadline := time.Now().Add(releaseTimeout)
	for _, name := range []string{"prefill1", "prefill2", "decode1", "decode2", "decode3"} {
		for {
			var streams []json.RawMessage
			readPage(t, f, name, "/v1/streams", &streams)
			if len(streams) == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s holds %d streams after the timeout", name, len(streams))
			}
			<-time.After(pollInterval)
		}
	}
}

// callerAddresses returns the addresses at which the entries accept requests.
func callerAddresses(t *testing.T, f *fleet.Fleet) []string {
	t.Helper()
	var addresses []string
	for _, name := range []string{"entry1", "entry2", "entry3"} {
		address, err := f.CallerAddress(name)
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// readPage decodes the JSON of an upstream's page into target.
func readPage(t *testing.T, f *fleet.Fleet, upstream, path string, target any) {
	t.Helper()
	address, err := f.UpstreamAddress(upstream)
	if err != nil {
		t.Fatal(err)
	}
	content, err := f.HTTPGet(address, path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(content, target); err != nil {
		t.Fatal(err)
	}
}

package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/scenario/fleet"
)

const (
	// idleMeasureTime is the interval over which the processor time of an idle process is measured.
	idleMeasureTime = 5 * time.Second
	// clockTicksPerS is the number of clock ticks in one second. /proc reports processor time in clock ticks.
	clockTicksPerS = 100
	// userTimeField and systemTimeField are indexes into /proc/PID/stat, counted from the field after the
	// program's name.
	userTimeField   = 11
	systemTimeField = 12
	// residentPagesField is an index into /proc/PID/statm.
	residentPagesField = 1
)

type (
	// processUsage is the resident memory and the total processor time of a running process, as /proc reports
	// them.
	processUsage struct {
		residentBytes int64
		cpu           time.Duration
	}
)

// IdleProcesses measures an idle process of each role, with a small configuration and with one of the target
// size, and the time from publishing the latter until it is in force. It starts the programs in the folder
// binaries. The processor time is the average for one second.
func IdleProcesses(binaries string) ([]ItemCost, error) {
	directory, err := os.MkdirTemp("", "gooseberry-capacity-")
	if err != nil {
		return nil, eris.Wrap(err, "processes")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	f, err := fleet.New(fleet.Layout{Entries: 2, Prefill: 1, Decode: 1, Services: 1}, directory, binaries)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return nil, err
	}
	small, err := idleCosts(f, "small configuration")
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := publishTargetSize(f); err != nil {
		return nil, err
	}
	propagation := ItemCost{
		Name:    "target-size configuration, publish to in force",
		Items:   len(f.OperatorAddresses()),
		Elapsed: time.Since(start),
	}
	large, err := idleCosts(f, "target-size configuration")
	return append(append(small, propagation), large...), err
}

// publishTargetSize adds the target number of upstreams and partners to the fleet's configuration, publishes it
// and waits until it is in force on all entries and sidecars.
func publishTargetSize(f *fleet.Fleet) error {
	added := newConfiguration(Upstreams, Partners)
	err := f.Publish(func(c *configuration.Configuration) error {
		c.Upstreams = append(c.Upstreams, added.Upstreams...)
		c.Partners = append(c.Partners, added.Partners...)
		c.Pools = append(c.Pools, added.Pools...)
		c.Rules = append(c.Rules, added.Rules...)
		return nil
	})
	if err != nil {
		return err
	}
	return f.AwaitRevision(f.Configuration().Revision)
}

// idleCosts measures one process of each role over idleMeasureTime. The title names the configuration.
func idleCosts(f *fleet.Fleet, title string) ([]ItemCost, error) {
	roles := []struct{ name, process string }{
		{"entry", "entry1"}, {"engine sidecar", "decode1_sidecar"}, {"service sidecar", "service1_sidecar"},
	}
	before := make([]processUsage, len(roles))
	for i, r := range roles {
		var err error
		if before[i], err = readUsage(f, r.process); err != nil {
			return nil, err
		}
	}
	time.Sleep(idleMeasureTime)
	var costs []ItemCost
	for i, r := range roles {
		after, err := readUsage(f, r.process)
		if err != nil {
			return nil, err
		}
		costs = append(costs, ItemCost{
			Name:           fmt.Sprintf("idle %s, %s", r.name, title),
			Items:          1,
			MemoryBytes:    float64(after.residentBytes),
			CPUNanoseconds: float64((after.cpu - before[i].cpu).Nanoseconds()) / idleMeasureTime.Seconds(),
		})
	}
	return costs, nil
}

// readUsage reads the usage of a running process of the fleet from /proc. It works on Linux only.
func readUsage(f *fleet.Fleet, name string) (processUsage, error) {
	p, err := f.Process(name)
	if err != nil {
		return processUsage{}, err
	}
	pages, err := procField(p.ID(), "statm", residentPagesField)
	if err != nil {
		return processUsage{}, err
	}
	user, err := procField(p.ID(), "stat", userTimeField)
	if err != nil {
		return processUsage{}, err
	}
	system, err := procField(p.ID(), "stat", systemTimeField)
	if err != nil {
		return processUsage{}, err
	}
	return processUsage{
		residentBytes: pages * int64(os.Getpagesize()),
		cpu:           time.Duration(user+system) * time.Second / clockTicksPerS,
	}, nil
}

// procField returns a number from /proc/ID/FILE. It skips the process ID and the program's name in parentheses,
// if the file has them, and counts fields from 0 after them.
func procField(id int, file string, field int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", id, file))
	if err != nil {
		return 0, eris.Wrap(err, "processes")
	}
	text := string(content)
	if i := strings.LastIndex(text, ") "); i >= 0 {
		text = text[i+len(") "):]
	}
	fields := strings.Fields(text)
	if field >= len(fields) {
		return 0, eris.Errorf("processes: /proc/%d/%s has %d fields", id, file, len(fields))
	}
	return strconv.ParseInt(fields[field], 10, 64)
}

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
	idleTime = 5 * time.Second
	// clockTicksPerS is the unit of processor times in /proc.
	clockTicksPerS = 100
	// userTimeField and systemTimeField count from the field after the program's name.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 1
)

type (
	// usage is what the system says of a running process.
	usage struct {
		resident int64
		cpu      time.Duration
	}
)

// Processes measures idle processes of each role, with a small configuration and with
// one of the target's size. The processor time is that of one second.
func Processes(binaries string) ([]Slope, error) {
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
	small, err := idle(f, "small configuration")
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := publishTarget(f); err != nil {
		return nil, err
	}
	reach := Slope{Name: "target's configuration, published to in force", Items: len(f.OperatorAddresses()), Elapsed: time.Since(start)}
	large, err := idle(f, "target's configuration")
	return append(append(small, reach), large...), err
}

// publishTarget adds upstreams and partners up to the target's number and waits for
// all processes to take them.
func publishTarget(f *fleet.Fleet) error {
	more := newConfiguration(Upstreams, Partners)
	err := f.Publish(func(c *configuration.Configuration) error {
		c.Upstreams = append(c.Upstreams, more.Upstreams...)
		c.Partners = append(c.Partners, more.Partners...)
		c.Pools = append(c.Pools, more.Pools...)
		c.Rules = append(c.Rules, more.Rules...)
		return nil
	})
	if err != nil {
		return err
	}
	return f.AwaitRevision(f.Configuration().Revision)
}

func idle(f *fleet.Fleet, title string) ([]Slope, error) {
	roles := []struct{ name, process string }{
		{"entry", "entry1"}, {"engine sidecar", "decode1_sidecar"}, {"service sidecar", "service1_sidecar"},
	}
	before := make([]usage, len(roles))
	for i, r := range roles {
		var err error
		if before[i], err = measureProcess(f, r.process); err != nil {
			return nil, err
		}
	}
	time.Sleep(idleTime)
	var slopes []Slope
	for i, r := range roles {
		after, err := measureProcess(f, r.process)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, Slope{
			Name:           fmt.Sprintf("idle %s, %s", r.name, title),
			Items:          1,
			MemoryBytes:    float64(after.resident),
			CPUNanoseconds: float64((after.cpu - before[i].cpu).Nanoseconds()) / idleTime.Seconds(),
		})
	}
	return slopes, nil
}

func measureProcess(f *fleet.Fleet, name string) (usage, error) {
	p, err := f.Process(name)
	if err != nil {
		return usage{}, err
	}
	pages, err := procField(p.ID(), "statm", residentField)
	if err != nil {
		return usage{}, err
	}
	user, err := procField(p.ID(), "stat", userTimeField)
	if err != nil {
		return usage{}, err
	}
	system, err := procField(p.ID(), "stat", systemTimeField)
	if err != nil {
		return usage{}, err
	}
	return usage{
		resident: pages * int64(os.Getpagesize()),
		cpu:      time.Duration(user+system) * time.Second / clockTicksPerS,
	}, nil
}

// procField returns a number from /proc; a program's name in parentheses is left out.
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

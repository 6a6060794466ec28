package scenario

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
	"gooseberrypin.example/router/vm"
	"gooseberrypin.example/scenario/fleet"
)

type (
	command = func(ts *testscript.TestScript, neg bool, args []string)
)

// commands are the words that the scripts have besides testscript's own.
func commands() map[string]command {
	return map[string]command{
		"fleet":     cmdFleet,
		"start":     cmdStart,
		"ready":     cmdReady,
		"shutdown":  eachProcess((*fleet.Process).Stop),
		"terminate": eachProcess((*fleet.Process).Terminate),
		"ended":     eachProcess(func(p *fleet.Process) error { return p.Wait(fleet.StopTimeout) }),
		"crash":     eachProcess((*fleet.Process).Kill),
		"freeze":    eachProcess((*fleet.Process).Freeze),
		"thaw":      eachProcess((*fleet.Process).Thaw),
		"cut":       eachPair((*fleet.Fleet).Partition),
		"heal":      eachPair((*fleet.Fleet).Heal),
		"reset":     eachPair((*fleet.Fleet).Reset),
		"publish":   cmdPublish,
		"relabel":   cmdRelabel,
		"leaving":   cmdLeaving,
		"vms":       cmdVMs,
		"platform":  cmdPlatform,
		"newkey":    cmdNewKey,
		"send":      cmdSend,
		"cancel":    cmdCancel,
		"expect":    cmdExpect,
		"save":      cmdSave,
		"service":   cmdService,
		"settled":   cmdSettled,
	}
}

// cmdFleet builds a fleet: fleet [entries=N] [prefill=N] [decode=N] [services=N] [engine=--flag=value].
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "fleet", neg)
	s := stageOf(ts)
	layout := fleet.Layout{Entries: 2, Prefill: 1, Decode: 2, Services: 1}
	options := []fleet.Option{fleet.WithHost(s.host), fleet.WithLinks(), fleet.WithNaive(s.naive...)}
	var engine []string
	for _, o := range parseOptions(ts, args) {
		switch o.name {
		case "entries":
			layout.Entries = o.number(ts)
		case "prefill":
			layout.Prefill = o.number(ts)
		case "decode":
			layout.Decode = o.number(ts)
		case "services":
			layout.Services = o.number(ts)
		case "engine":
			engine = append(engine, o.value)
		default:
			ts.Fatalf("fleet: no option %q", o.name)
		}
	}
	f, err := fleet.New(layout, s.directory, s.binaries, append(options, fleet.WithEngineArguments(engine...))...)
	ts.Check(err)
	s.fleet = f
	setAddresses(ts, f)
}

// setAddresses makes the addresses known to the script and to configurations in its files.
func setAddresses(ts *testscript.TestScript, f *fleet.Fleet) {
	for _, name := range f.Names() {
		if a, err := f.UpstreamAddress(name); err == nil {
			ts.Setenv("ADDR_"+name, a)
		}
		if a, err := f.FleetAddress(name); err == nil {
			ts.Setenv("ADDR_"+name, a)
		}
		if a, err := f.OperatorAddress(name); err == nil {
			ts.Setenv("OPERATOR_"+name, a)
		}
		if a, err := f.CallerAddress(name); err == nil {
			ts.Setenv("CALLER_"+name, a)
		}
	}
	ts.Setenv("ADDR_platform", f.PlatformAddress())
	ts.Setenv("OPERATORS", strings.Join(f.OperatorAddresses(), ","))
}

// cmdStart starts the named processes, or all that do not run.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "start", neg)
	f := stageOf(ts).fleet
	if len(args) == 0 {
		ts.Check(f.Start())
		return
	}
	for _, name := range args {
		ts.Check(f.StartProcess(name))
	}
}

// cmdReady waits until each process that runs has a configuration, as a balancer does.
func cmdReady(ts *testscript.TestScript, neg bool, _ []string) {
	plain(ts, "ready", neg)
	ts.Check(stageOf(ts).fleet.AwaitReady())
}

// cmdPublish publishes a configuration: publish FILE, with $ADDR_NAME expanded.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "publish", neg)
	if len(args) != 1 {
		ts.Fatalf("usage: publish FILE")
	}
	content := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(stageOf(ts).fleet.PublishRaw([]byte(content)))
}

// cmdRelabel publishes new labels: relabel UPSTREAM KEY=VALUE...
func cmdRelabel(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "relabel", neg)
	if len(args) < 2 {
		ts.Fatalf("usage: relabel UPSTREAM KEY=VALUE...")
	}
	labels := label.Labels{}
	for _, o := range parseOptions(ts, args[1:]) {
		labels[o.name] = o.value
	}
	ts.Check(stageOf(ts).fleet.Relabel(args[0], labels))
}

// cmdLeaving publishes that an upstream is leaving: leaving UPSTREAM [false].
func cmdLeaving(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "leaving", neg)
	leaving := !slices.Contains(args[1:], "false")
	ts.Check(stageOf(ts).fleet.Publish(func(c *configuration.Configuration) error {
		for i := range c.Upstreams {
			if c.Upstreams[i].Name == args[0] {
				c.Upstreams[i].Leaving = leaving
			}
		}
		return nil
	}))
}

// cmdVMs changes the VM list: vms NAME live|leaving|gone.
func cmdVMs(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "vms", neg)
	if len(args) != 2 {
		ts.Fatalf("usage: vms NAME live|leaving|gone")
	}
	state := vm.State(args[1])
	if args[1] == "gone" {
		state = ""
	}
	ts.Check(stageOf(ts).fleet.PublishVM(args[0], state))
}

// cmdPlatform changes what the platform serves: platform up|down|stale.
func cmdPlatform(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, "platform", neg)
	if len(args) != 1 {
		ts.Fatalf("usage: platform up|down|stale")
	}
	ts.Check(stageOf(ts).fleet.SetPlatformMode(args[0]))
}

func eachProcess(do func(*fleet.Process) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		plain(ts, "this command", neg)
		for _, name := range args {
			p, err := stageOf(ts).fleet.Process(name)
			ts.Check(err)
			ts.Check(do(p))
		}
	}
}

func eachPair(do func(f *fleet.Fleet, a, b string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		plain(ts, "this command", neg)
		if len(args) < 2 {
			ts.Fatalf("usage: cut|heal|reset PROCESS PROCESS...")
		}
		for _, other := range args[1:] {
			ts.Check(do(stageOf(ts).fleet, args[0], other))
		}
	}
}

type (
	option struct {
		name  string
		value string
	}
)

func parseOptions(ts *testscript.TestScript, args []string) []option {
	var list []option
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if !found {
			ts.Fatalf("%q is not NAME=VALUE", arg)
		}
		list = append(list, option{name: name, value: value})
	}
	return list
}

func (o option) number(ts *testscript.TestScript) int {
	n, err := strconv.Atoi(o.value)
	ts.Check(err)
	return n
}

func plain(ts *testscript.TestScript, name string, neg bool) {
	if neg {
		ts.Fatalf("%s: ! is not supported", name)
	}
}

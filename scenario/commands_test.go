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

// commands returns the script commands that are added to those of testscript.
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

// cmdFleet creates a fleet without starting it: fleet [entries=N] [prefill=N] [decode=N] [services=N] [engine=--flag=value].
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "fleet", neg)
	s := scriptStateOf(ts)
	layout := fleet.Layout{Entries: 2, Prefill: 1, Decode: 2, Services: 1}
	options := []fleet.Option{fleet.WithHost(s.host), fleet.WithLinks(), fleet.WithNaive(s.disabledMechanisms...)}
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
			ts.Fatalf("fleet: unknown option %q", o.name)
		}
	}
	f, err := fleet.New(layout, s.directory, s.binaries, append(options, fleet.WithEngineArguments(engine...))...)
	ts.Check(err)
	s.fleet = f
	setAddresses(ts, f)
}

// setAddresses sets environment variables with the addresses of the fleet's processes, for use in scripts and
// in the configurations that they publish.
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

// cmdStart starts the named processes, or without names all that are not running: start [NAME...].
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "start", neg)
	f := scriptStateOf(ts).fleet
	if len(args) == 0 {
		ts.Check(f.Start())
		return
	}
	for _, name := range args {
		ts.Check(f.StartProcess(name))
	}
}

// cmdReady waits until each running entry and sidecar has a configuration and a VM list, as a
// load balancer does before it sends requests: ready.
func cmdReady(ts *testscript.TestScript, neg bool, _ []string) {
	rejectNegation(ts, "ready", neg)
	ts.Check(scriptStateOf(ts).fleet.AwaitReady())
}

// cmdPublish publishes the configuration in a file and expands the environment variables in it: publish FILE.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "publish", neg)
	if len(args) != 1 {
		ts.Fatalf("usage: publish FILE")
	}
	content := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(scriptStateOf(ts).fleet.PublishRaw([]byte(content)))
}

// cmdRelabel publishes a configuration in which an upstream has these labels besides its other ones:
// relabel UPSTREAM KEY=VALUE...
func cmdRelabel(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "relabel", neg)
	if len(args) < 2 {
		ts.Fatalf("usage: relabel UPSTREAM KEY=VALUE...")
	}
	labels := label.Labels{}
	for _, o := range parseOptions(ts, args[1:]) {
		labels[o.name] = o.value
	}
	ts.Check(scriptStateOf(ts).fleet.Relabel(args[0], labels))
}

// cmdLeaving publishes a configuration that marks an upstream as leaving, or with false as not leaving:
// leaving UPSTREAM [false].
func cmdLeaving(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "leaving", neg)
	leaving := !slices.Contains(args[1:], "false")
	ts.Check(scriptStateOf(ts).fleet.Publish(func(c *configuration.Configuration) error {
		for i := range c.Upstreams {
			if c.Upstreams[i].Name == args[0] {
				c.Upstreams[i].Leaving = leaving
			}
		}
		return nil
	}))
}

// cmdVMs publishes a VM list in which a VM is live, leaving, or removed (gone): vms NAME live|leaving|gone.
func cmdVMs(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "vms", neg)
	if len(args) != 2 {
		ts.Fatalf("usage: vms NAME live|leaving|gone")
	}
	state := vm.State(args[1])
	if args[1] == "gone" {
		state = ""
	}
	ts.Check(scriptStateOf(ts).fleet.PublishVM(args[0], state))
}

// cmdPlatform makes the platform answer (up), refuse reads (down) or serve old content (stale):
// platform up|down|stale.
func cmdPlatform(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, "platform", neg)
	if len(args) != 1 {
		ts.Fatalf("usage: platform up|down|stale")
	}
	ts.Check(scriptStateOf(ts).fleet.SetPlatformMode(args[0]))
}

// eachProcess returns a command that applies do to each named process: COMMAND NAME...
func eachProcess(do func(*fleet.Process) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		rejectNegation(ts, "this command", neg)
		for _, name := range args {
			p, err := scriptStateOf(ts).fleet.Process(name)
			ts.Check(err)
			ts.Check(do(p))
		}
	}
}

// eachPair returns a command that applies do to the pairs of the first process with each other one:
// COMMAND PROCESS PROCESS...
func eachPair(do func(f *fleet.Fleet, a, b string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		rejectNegation(ts, "this command", neg)
		if len(args) < 2 {
			ts.Fatalf("usage: cut|heal|reset PROCESS PROCESS...")
		}
		for _, other := range args[1:] {
			ts.Check(do(scriptStateOf(ts).fleet, args[0], other))
		}
	}
}

type (
	// option is a command argument of the form NAME=VALUE.
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

// rejectNegation fails the script if the command is negated with "!".
func rejectNegation(ts *testscript.TestScript, name string, neg bool) {
	if neg {
		ts.Fatalf("%s: ! is not supported", name)
	}
}

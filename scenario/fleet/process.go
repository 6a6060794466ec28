package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// startTimeout is the maximum time from the start of a process until it listens.
	startTimeout = 20 * time.Second
	// StopTimeout is the maximum duration of a stop by SIGTERM.
	StopTimeout = 40 * time.Second
	killTimeout = 5 * time.Second
	// raceOptions shortens the time that programs built with the race detector wait before they exit. The default
	// is 1 s.
	raceOptions = "GORACE=atexit_sleep_ms=50"
)

type (
	// Process is a program that the fleet can start several times, with the same arguments and addresses. It is
	// safe for concurrent use.
	Process struct {
		Name string

		program   string
		arguments []string
		// readyEvent is the number of the event that the process logs when it listens.
		readyEvent int
		log        *logCollector
		// onExit, if not nil, is called after each exit of the process.
		onExit func()

		mu  sync.Mutex
		cmd *exec.Cmd
		// exited is closed when the current run has exited.
		exited chan struct{}
		frozen bool
		starts int
		// exitErr is the result of exec.Cmd.Wait for the last run.
		exitErr error
	}
)

// Start starts the process and waits until it listens. It returns an error if the process runs already, exits
// before it listens or does not listen within startTimeout.
func (p *Process) Start() error {
	p.mu.Lock()
	if p.cmd != nil {
		p.mu.Unlock()
		return eris.Errorf("%s: already running", p.Name)
	}
	after := p.log.count()
	cmd := exec.Command(p.program, p.arguments...)
	cmd.Stderr = p.log
	cmd.Stdout = p.log
	killWithParent(cmd)
	cmd.Env = append(os.Environ(), raceOptions)
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		return eris.Wrap(err, p.Name)
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	p.starts++
	exited := p.exited
	p.mu.Unlock()
	go p.reap(cmd, exited)
	return p.awaitReady(after, exited)
}

// Running reports whether the process runs. A frozen process counts as running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// ID returns the process ID, or 0 if the process does not run.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Starts returns how many times the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// Stop sends SIGTERM and waits up to StopTimeout until the process exits.
func (p *Process) Stop() error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(StopTimeout)
}

// Kill sends SIGKILL and waits until the process exits.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(killTimeout)
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() error {
	return p.setFrozen(syscall.SIGSTOP, true)
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error {
	return p.setFrozen(syscall.SIGCONT, false)
}

// Wait waits until the process has exited. It returns an error if the process still runs after the timeout, and nil
// if it does not run.
func (p *Process) Wait(timeout time.Duration) error {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return eris.Errorf("%s: still running after %s", p.Name, timeout)
	}
}

// Tail returns the last lines of the log, over all runs.
func (p *Process) Tail() string {
	return p.log.lastLines()
}

// Events returns the number of occurrences of each event number in the log, over all runs.
func (p *Process) Events() map[int]int {
	return p.log.eventCounts()
}

// Faults returns the log lines that report a data race, a panic or a fatal error.
func (p *Process) Faults() []string {
	return p.log.faultLines()
}

func (p *Process) setFrozen(s os.Signal, frozen bool) error {
	if err := p.signal(s); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
	return nil
}

func (p *Process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return eris.Errorf("%s: not running", p.Name)
	}
	return eris.Wrap(p.cmd.Process.Signal(s), p.Name)
}

// reap waits until a run exits, records the result and closes exited.
func (p *Process) reap(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	p.exitErr = err
	p.frozen = false
	p.mu.Unlock()
	if p.onExit != nil {
		p.onExit()
	}
	close(exited)
}

func (p *Process) lastExitErr() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// awaitReady waits for readyEvent, not counting the first `after` events of the log.
func (p *Process) awaitReady(after int, exited <-chan struct{}) error {
	deadline := time.After(startTimeout)
	for {
		_, found, changed := p.log.find(p.readyEvent, after)
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-exited:
			return eris.Errorf("%s: exited before it listened (%v):\n%s", p.Name, p.lastExitErr(), p.Tail())
		case <-deadline:
			return eris.Errorf("%s: did not listen within %s:\n%s", p.Name, startTimeout, p.Tail())
		}
	}
}

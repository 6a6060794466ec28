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
	startTimeout = 20 * time.Second
	// StopTimeout bounds a planned stop.
	StopTimeout = 40 * time.Second
	killTimeout = 5 * time.Second
	// raceOptions shortens the wait at the end of programs built with the race detector.
	raceOptions = "GORACE=atexit_sleep_ms=50"
)

type (
	// Process is one program that the fleet starts, and starts again at the same addresses.
	Process struct {
		Name string

		program   string
		arguments []string
		ready     int
		log       *logCollector
		// ended is called after each end of the process.
		ended func()

		mu     sync.Mutex
		run    *exec.Cmd
		exited chan struct{}
		frozen bool
		starts int
		// end is how the last run ended.
		end error
	}
)

// Start starts the process and waits until it listens.
func (p *Process) Start() error {
	p.mu.Lock()
	if p.run != nil {
		p.mu.Unlock()
		return eris.Errorf("%s: runs already", p.Name)
	}
	after := p.log.count()
	run := exec.Command(p.program, p.arguments...)
	run.Stderr = p.log
	run.Stdout = p.log
	endWithParent(run)
	run.Env = append(os.Environ(), raceOptions)
	if err := run.Start(); err != nil {
		p.mu.Unlock()
		return eris.Wrap(err, p.Name)
	}
	p.run = run
	p.exited = make(chan struct{})
	p.starts++
	exited := p.exited
	p.mu.Unlock()
	go p.reap(run, exited)
	return p.awaitReady(after, exited)
}

// Running tells whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run != nil
}

// ID returns the process's number, or 0.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return 0
	}
	return p.run.Process.Pid
}

// Starts returns how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// Stop sends SIGTERM and waits until the process ends.
func (p *Process) Stop() error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(StopTimeout)
}

// Kill sends SIGKILL and waits until the process ends.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(killTimeout)
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() error {
	return p.setFrozen(syscall.SIGSTOP, true)
}

// Thaw lets a frozen process run on.
func (p *Process) Thaw() error {
	return p.setFrozen(syscall.SIGCONT, false)
}

// Wait waits until the process has ended.
func (p *Process) Wait(timeout time.Duration) error {
	p.mu.Lock()
	exited, runs := p.exited, p.run != nil
	p.mu.Unlock()
	if !runs {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return eris.Errorf("%s: still runs after %s", p.Name, timeout)
	}
}

// Tail returns the last lines of the log.
func (p *Process) Tail() string {
	return p.log.lastLines()
}

// Events returns how often each numbered event stands in the log.
func (p *Process) Events() map[int]int {
	return p.log.eventCounts()
}

// Faults returns the lines of the log that report a data race or a panic.
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
	if p.run == nil {
		return eris.Errorf("%s: does not run", p.Name)
	}
	return eris.Wrap(p.run.Process.Signal(s), p.Name)
}

func (p *Process) reap(run *exec.Cmd, exited chan struct{}) {
	err := run.Wait()
	p.mu.Lock()
	p.run = nil
	p.end = err
	p.frozen = false
	p.mu.Unlock()
	if p.ended != nil {
		p.ended()
	}
	close(exited)
}

func (p *Process) lastEnd() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end
}

func (p *Process) awaitReady(after int, exited <-chan struct{}) error {
	deadline := time.After(startTimeout)
	for {
		_, found, changed := p.log.find(p.ready, after)
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-exited:
			return eris.Errorf("%s: ended before it listened (%v):\n%s", p.Name, p.lastEnd(), p.Tail())
		case <-deadline:
			return eris.Errorf("%s: did not listen within %s:\n%s", p.Name, startTimeout, p.Tail())
		}
	}
}

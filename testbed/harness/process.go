package harness

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is a started program. All methods may be called repeatedly, and after the program has ended.
type Process struct {
	Name string
	// Log is the name of the file with standard output and standard error.
	Log  string
	cmd  *exec.Cmd
	done chan struct{}

	mu   sync.Mutex
	code int
}

// Start starts a program. Its output goes to folder/NAME.log. It is killed at the end of the test.
func Start(t testing.TB, folder, name, program string, arguments ...string) *Process {
	t.Helper()
	p := &Process{Name: name, Log: filepath.Join(folder, name+".log"), done: make(chan struct{})}
	const mode = 0o644
	output, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p.cmd = exec.Command(program, arguments...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.wait()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("end of %s:\n%s", p.Log, tail(p.Log))
		}
	})
	return p
}

func (p *Process) wait() {
	p.cmd.Wait()
	p.mu.Lock()
	p.code = p.cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(p.done)
}

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP, which the process cannot handle.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end and returns its exit code. The test fails after the timeout.
func (p *Process) Wait(t testing.TB, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(timeout):
		t.Fatalf("%s did not end within %s", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Terminate sends SIGTERM, waits for the process to end and returns its exit code. The test fails after the timeout.
func (p *Process) Terminate(t testing.TB, timeout time.Duration) int {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	return p.Wait(t, timeout)
}

const tailBytes = 1500

func tail(file string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		return []byte(err.Error())
	}
	return bytes.TrimSpace(text[max(0, len(text)-tailBytes):])
}

// Result is the exit code and output of a program that has ended.
type Result struct {
	Code   int
	Output string
}

func (r Result) String() string { return fmt.Sprintf("exit %d: %s", r.Code, r.Output) }

// Run runs a program and waits for it to end. The program is killed after the timeout.
func Run(t testing.TB, timeout time.Duration, program string, arguments ...string) Result {
	t.Helper()
	var output bytes.Buffer
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = &output, &output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(timeout, func() { c.Process.Kill() })
	defer timer.Stop()
	c.Wait()
	return Result{Code: c.ProcessState.ExitCode(), Output: output.String()}
}

// Eventually polls until done returns true. The test fails after the timeout, with a message that names what.
func Eventually(t testing.TB, timeout time.Duration, what string, done func() bool) {
	t.Helper()
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return
		}
	}
	t.Fatalf("not within %s: %s", timeout, what)
}

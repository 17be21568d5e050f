package main

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopLimit bounds the wait for a process that was asked to end.
const stopLimit = 20 * time.Second

// proc is one process of the program that a test kills, freezes and starts anew.
type proc struct {
	name string
	args []string
	log  *os.File
	addr netip.AddrPort // Where it listens; a fault is over once it accepts again.

	mu     sync.Mutex
	cmd    *exec.Cmd
	faults []span // When the process could not answer, or broke off.
}

// span is a time during which a process was down or frozen.
type span struct{ from, to time.Time }

// newProc starts the program with the arguments. The process ends with the test.
func newProc(t testing.TB, dir, name string, args ...string) *proc {
	t.Helper()
	log, err := os.Create(filepath.Join(dir, name+".log"))
	must.NoError(t, err)
	p := &proc{name: name, args: args, log: log}
	must.NoError(t, p.start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			data, _ := os.ReadFile(log.Name())
			t.Logf("%s:\n%s", name, data[max(0, len(data)-8000):])
		}
		_ = log.Close()
	})
	return p
}

func (p *proc) start() error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(exe, p.args...)
	p.cmd.Env = append(os.Environ(), selfEnv+"=1")
	p.cmd.Stderr = p.log
	// In the test's own group, a stopped process gets SIGHUP when the shell that started the test ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// crash kills the process with sig, waits for pause and starts it anew. The
// process may first be frozen, so that it dies without having run since.
func (p *proc) crash(sig syscall.Signal, pause time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.fault()()
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	late := time.AfterFunc(stopLimit, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	late.Stop()
	time.Sleep(pause)
	if err := p.start(); err != nil {
		return err
	}
	return p.accepts()
}

// accepts waits until the process takes connections.
func (p *proc) accepts() error {
	if !p.addr.IsValid() {
		return nil
	}
	var err error
	for end := time.Now().Add(stopLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var conn net.Conn
		if conn, err = net.Dial("tcp", p.addr.String()); err == nil {
			return conn.Close()
		}
	}
	return err
}

// freeze stops the process for pause; its connections stay open meanwhile.
func (p *proc) freeze(pause time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pause)
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// fault notes a time in which connections to the process may break.
func (p *proc) fault() func() {
	p.faults = append(p.faults, span{from: time.Now()})
	return func() { p.faults[len(p.faults)-1].to = time.Now() }
}

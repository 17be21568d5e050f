// Package rig starts a small deployment of the project's programs as processes on loopback
// addresses, and plays its clients, servers and platform.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of a fleet; each machine has an address of its own.
const (
	FrontPort   = 18221
	ReadyPort   = 18224
	ControlPort = 18229
	peerPort    = 17600
	tunnelPort  = 17601
	metricsPort = 19464
)

// Times of the deployment, as in the page's example of settings.
const (
	Heartbeat = 1200 * time.Millisecond
	Grace     = 8 * time.Second
	Drain     = 2 * time.Second
	Contact   = 3 * time.Second
	Apply     = 2 * time.Second
	LossSlack = 200 * time.Millisecond
)

// Record writes what is sent, answered and run, with times since its start.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates record.txt in the case's folder.
func NewRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		Unable("record: %v", err)
	}
	return &Record{f: f, start: time.Now()}
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Unable ends the program: the case could not run.
func Unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", args...)
	atEnd()
	os.Exit(2)
}

var atEnd = func() {}

// Fleet is a small deployment.
type Fleet struct {
	Rec   *Record
	Hubs  []*Process
	Gates []*Process
	net   string // The first three bytes of all addresses.
	dir   string
	next  int
}

// Process is one process of the project.
type Process struct {
	Name, IP string
	role     string
	settings string
	fleet    *Fleet
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// New starts control processes and entries, and waits until control answers.
func New(rec *Record, hubs, gates int) *Fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Unable("folder: %v", err)
	}
	f := &Fleet{Rec: rec, dir: dir, net: freeNet()}
	atEnd = f.End
	for i := range hubs {
		f.Hubs = append(f.Hubs, f.process("hub", "core", i))
	}
	for i := range gates {
		f.Gates = append(f.Gates, f.process("gate", "front", i))
	}
	for _, p := range append(append([]*Process{}, f.Hubs...), f.Gates...) {
		p.write(true)
		p.Start()
	}
	return f
}

// freeNet returns the first three bytes of loopback addresses whose ports are free.
func freeNet() string {
	for range 100 {
		n := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", n, FrontPort))
		if err == nil {
			_ = ln.Close()
			return n
		}
	}
	Unable("no free addresses")
	return ""
}

// IP returns an address that no other machine of the fleet has.
func (f *Fleet) IP() string {
	f.next++
	return fmt.Sprintf("%s%d", f.net, f.next)
}

func (f *Fleet) process(role, class string, i int) *Process {
	p := &Process{Name: fmt.Sprintf("%s-%d", class, i+1), role: role, IP: f.IP(), fleet: f}
	p.settings = filepath.Join(f.dir, p.Name+".json")
	return p
}

// write writes the settings as platform/settings.json renders those of the page's example.
func (p *Process) write(bootstrap bool) {
	var seeds []string
	for _, h := range p.fleet.Hubs[:min(len(p.fleet.Hubs), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.IP, ControlPort))
	}
	s := map[string]any{
		"node": p.Name, "data-centre": "z1", "data-centres": []string{"z1"}, "callers": "", "ready": "", "calls": "",
		"peers": fmt.Sprintf("%s:%d", p.IP, peerPort), "tunnel": fmt.Sprintf("%s:%d", p.IP, tunnelPort), "metrics": fmt.Sprintf("%s:%d", p.IP, metricsPort),
		"seeds": seeds, "data-folder": "", "bootstrap": bootstrap, "losses": (len(p.fleet.Hubs) - 1) / 2, "catch-up": "4s",
		"announce-every": Heartbeat.String(), "drain-limit": Grace.String(), "upstream-drain": Drain.String(),
		"retry-ratio": 0.2, "retry-slack": 52, "quota-overage": 0.1, "quota-slack": 140000, "hold-versions": false, "defer-from": "9s", "memory-mb": 280,
	}
	if p.role == "hub" {
		s["calls"], s["data-folder"] = fmt.Sprintf("%s:%d", p.IP, ControlPort), filepath.Join(p.fleet.dir, p.Name)
	} else {
		s["callers"], s["ready"] = fmt.Sprintf("%s:%d", p.IP, FrontPort), fmt.Sprintf("%s:%d", p.IP, ReadyPort)
	}
	data, _ := json.Marshal(s)
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		Unable("settings: %v", err)
	}
}

// Program is the path of the project's program, from the root of the repository.
const Program = "target/azurelane"

// Start starts the process.
func (p *Process) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.fleet.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("log: %v", err)
	}
	defer out.Close()
	p.cmd = exec.Command(Program, p.role, p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		Unable("start %s: %v", p.Name, err)
	}
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(p.cmd, p.ended)
	p.fleet.Rec.Add("%s starts", p.Name)
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Rec.Add("%s gets %s", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Ended is closed when the process has ended.
func (p *Process) Ended() chan struct{} { return p.ended }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		p.fleet.Rec.Add("%s has ended", p.Name)
	case <-time.After(Grace):
		p.Kill()
	}
}

// Log returns what the process wrote.
func (p *Process) Log() string {
	data, _ := os.ReadFile(filepath.Join(p.fleet.dir, p.Name+".log"))
	return string(data)
}

// End ends all processes.
func (f *Fleet) End() {
	for _, p := range append(append([]*Process{}, f.Hubs...), f.Gates...) {
		p.mu.Lock()
		c := p.cmd
		p.mu.Unlock()
		if c != nil && c.Process != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			<-p.ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}

var control = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes one call to a control address. Status 0 stands for no answer.
func Call(method, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := control.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// Put sends a configuration as the operator does, until it is acknowledged or refused. It returns the status.
func (f *Fleet) Put(config any, within time.Duration) int {
	data, err := json.Marshal(config)
	if err != nil {
		Unable("configuration: %v", err)
	}
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		h := f.Hubs[i%len(f.Hubs)]
		status, text := Call("POST", fmt.Sprintf("http://%s:%d/config/put", h.IP, ControlPort), data, time.Second)
		f.Rec.Add("configuration sent to %s: %d %s", h.Name, status, bytes.TrimSpace(text))
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// Ready reports whether an entry says that it is ready.
func (p *Process) Ready() bool {
	status, _ := Call("GET", fmt.Sprintf("http://%s:%d/ready", p.IP, ReadyPort), nil, time.Second)
	return status == 200
}

// AwaitReady waits until all entries are ready.
func (f *Fleet) AwaitReady(within time.Duration) {
	end := time.Now().Add(within)
	for _, g := range f.Gates {
		for !g.Ready() {
			if time.Now().After(end) {
				Unable("%s is not ready", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.Rec.Add("all entries are ready")
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Verdict ends the fleet and the program: with 1 if the rule was broken, and 0 if it held.
func (f *Fleet) Verdict(broken []string) {
	f.End()
	for _, b := range broken {
		f.Rec.Add("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	f.Rec.Add("the rule held")
	fmt.Println("held")
	os.Exit(0)
}

// Memory returns the resident memory of the process in MB, and zero if it does not run.
func (p *Process) Memory() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// DiskMB returns the size of the process's data folder in MB.
func (p *Process) DiskMB() int64 {
	var n int64
	files, _ := filepath.Glob(filepath.Join(p.fleet.dir, p.Name, "*"))
	for _, name := range files {
		if st, err := os.Stat(name); err == nil {
			n += st.Size()
		}
	}
	return n >> 20
}

// SetRestart has the next starts of the process be no first starts.
func (p *Process) SetRestart() { p.write(false) }

// Reads reads the configuration back, at one control process after the other, until it is as new as a version.
func (f *Fleet) Reads(version int, within time.Duration) bool {
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		h := f.Hubs[i%len(f.Hubs)]
		status, data := Call("GET", fmt.Sprintf("http://%s:%d/config/get", h.IP, ControlPort), nil, 2*time.Second)
		var doc struct {
			Version int `json:"version"`
		}
		err := json.Unmarshal(data, &doc)
		f.Rec.Add("configuration read at %s: %d, version %d", h.Name, status, doc.Version)
		if status == 200 && err == nil && doc.Version >= version {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

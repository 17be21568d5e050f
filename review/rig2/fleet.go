package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of the site huber-angebot.
const (
	catchUp     = 4 * time.Second
	grace       = 8 * time.Second
	recoverTime = 12 * time.Second
	configApply = 2 * time.Second
	beatEvery   = 1200 * time.Millisecond
)

var zoneNames = []string{"halle-rosenheim", "halle-traunstein", "halle-miesbach"}

type (
	// fleet is a small deployment on loopback addresses.
	fleet struct {
		program string
		tag     string // Of the deployment, before its machines' names.
		dir     string
		net     string // First three parts of the machines' addresses.
		ports   [6]int // Callers, ready, calls, peers, tunnel, peers behind a forwarder; the same on all machines.
		trouble bool
		rec     *record
		client  *http.Client

		mu    sync.Mutex
		procs []*proc
	}

	// proc is a machine with one process.
	proc struct {
		f          *fleet
		name, role string
		ip, zone   string
		seeds      []*proc
		bootstrap  bool
		settings   string
		data       string
		log        *os.File
		mu         sync.Mutex
		cmd        *exec.Cmd
		ended      chan struct{}
		startedAt  time.Time
		forwarder  *forwarder // Stands before the port for links; nil for none.
	}

	// record is the file of what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		f     *os.File
		start time.Time
	}
)

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.f, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// another returns a further deployment that shares nothing with the first one.
func (f *fleet) another(n int) (*fleet, error) {
	o, err := newFleet(f.rec, f.trouble, n)
	if err == nil {
		o.tag = fmt.Sprintf("%d/", n)
	}
	return o, err
}

// newFleet finds ports that are free on all addresses that the n-th deployment may use.
func newFleet(rec *record, trouble bool, n int) (*fleet, error) {
	program := os.Getenv("AZURELANE")
	if program == "" {
		program = "target/azurelane"
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "azurelane-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir, trouble: trouble, rec: rec, net: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+((os.Getpid()/200)*16+n)%250)}
	for i := range f.ports {
		if f.ports[i], err = freePort(f.net); err != nil {
			return nil, err
		}
	}
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	return f, nil
}

func freePort(prefix string) (int, error) {
	for range 100 {
		ln, err := net.Listen("tcp", prefix+"1:0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		ok := true
		for i := 2; i < 40 && ok; i++ {
			l, err := net.Listen("tcp", prefix+strconv.Itoa(i)+":"+strconv.Itoa(port))
			if ok = err == nil; ok {
				_ = l.Close()
			}
		}
		if ok {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// machine returns a machine that is not started yet.
func (f *fleet) machine(role string, n int, zone int) *proc {
	p := &proc{f: f, role: role, name: fmt.Sprintf("%s%s-%d", f.tag, role, n), ip: f.net + strconv.Itoa(n), zone: zoneNames[zone]}
	p.data = filepath.Join(f.dir, fmt.Sprintf("%s-%d-data", role, n))
	p.settings = filepath.Join(f.dir, fmt.Sprintf("%s-%d.json", role, n))
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	return p
}

func (p *proc) addr(port int) string { return p.ip + ":" + strconv.Itoa(p.f.ports[port]) }

// writeSettings writes the settings as the template of the deploy file renders them on this site.
func (p *proc) writeSettings() error {
	var seeds []string
	for _, s := range p.seeds {
		seeds = append(seeds, s.addr(2))
	}
	set := map[string]any{
		"node": p.name, "data-centre": p.zone, "data-centres": zoneNames, "peers": p.addr(3), "tunnel": p.addr(4), "seeds": seeds,
		"data-folder": "", "callers": "", "ready": "", "calls": "", "bootstrap": p.bootstrap, "losses": 1, "catch-up": catchUp.String(), "announce-every": beatEvery.String(),
		"drain-limit": grace.String(), "upstream-drain": "2000ms", "retry-ratio": 0.2, "retry-slack": 54, "quota-overage": 0.1, "quota-slack": 140000,
		"hold-versions": false, "defer-from": "9s", "memory-mb": 134,
	}
	if p.role == "hub" {
		set["calls"], set["data-folder"], set["memory-mb"] = p.addr(2), p.data, 280
	} else {
		set["callers"], set["ready"], set["upstream-source"] = p.addr(0), p.addr(1), p.ip
	}
	if p.forwarder != nil {
		set["peers-listen"] = p.addr(5)
	}
	text, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, text, 0o600)
}

// start starts the process.
func (p *proc) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(strings.TrimSuffix(p.settings, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.f.program, p.role, p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	childrenMu.Lock()
	children[cmd.Process.Pid] = true
	childrenMu.Unlock()
	p.mu.Lock()
	p.cmd, p.ended, p.startedAt, p.log = cmd, ended, time.Now(), log
	p.mu.Unlock()
	p.f.rec.say("%s (%s, %s) starts, bootstrap %t", p.name, p.ip, p.zone, p.bootstrap)
	go func() {
		err := cmd.Wait()
		childrenMu.Lock()
		delete(children, cmd.Process.Pid)
		childrenMu.Unlock()
		_ = log.Close()
		p.f.rec.say("%s has ended: %v", p.name, err)
		close(ended)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		select {
		case <-p.ended:
		default:
			p.f.rec.say("%s gets %v", p.name, s)
			_ = p.cmd.Process.Signal(s)
		}
	}
}

// forward puts a forwarder before the port for links, before the process starts.
func (p *proc) forward() (err error) {
	p.forwarder, err = forward(p.addr(3), p.addr(5))
	return err
}

func (p *proc) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// ready asks once whether an entry says that it is ready.
func (p *proc) ready() bool {
	status, _ := p.f.call("GET", "http://"+p.addr(1)+"/ready", nil, time.Second)
	return status == http.StatusOK
}

// wait waits until the process has ended.
func (p *proc) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// end ends all processes that were started.
func (f *fleet) end() {
	f.mu.Lock()
	procs := f.procs
	f.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			select {
			case <-p.ended:
			default:
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				_ = p.cmd.Process.Kill()
			}
		}
		p.mu.Unlock()
	}
	for _, p := range procs {
		if p.cmd != nil {
			p.wait(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.rec.say("logs stay in the temporary folder")
		fmt.Println(f.dir)
	}
}

// call makes one call and returns its status, zero for none, and the body.
func (f *fleet) call(method, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// put sends a configuration to the replicas in turn until one acknowledges it, as the operator does.
func (f *fleet) put(doc []byte, version int, limit time.Duration, hubs ...*proc) *proc {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		h := hubs[n%len(hubs)]
		status, _ := f.call("POST", "http://"+h.addr(2)+"/config/put", doc, time.Second)
		f.rec.say("config %d sent to %s: %s", version, h.name, statusText(status))
		if status == http.StatusOK {
			return h
		}
		time.Sleep(min(time.Duration(100*(n+1))*time.Millisecond, 500*time.Millisecond))
	}
	return nil
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return strconv.Itoa(status)
}

// get reads the configuration once and returns its version, zero for none.
func (f *fleet) get(h *proc) int {
	status, body := f.call("GET", "http://"+h.addr(2)+"/config/get", nil, time.Second)
	var d struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &d) == nil {
		f.rec.say("config read at %s: version %d", h.name, d.Version)
		return d.Version
	}
	f.rec.say("config read at %s: %s", h.name, statusText(status))
	return 0
}

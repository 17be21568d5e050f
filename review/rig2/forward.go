package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// forwarder passes connections on, and can make those that are open go silent for good.
	forwarder struct {
		ln    net.Listener
		to    string
		mu    sync.Mutex
		conns map[*forwarded]struct{}
		loss  atomic.Pointer[float64] // Share of the packets that are lost; nil for none.
	}

	forwarded struct {
		by      *forwarder
		in, out net.Conn
		pid     int // Of the process that has dialled; zero if it is not known.
		silent  atomic.Bool
	}
)

func forward(at, to string) (*forwarder, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &forwarder{ln: ln, to: to, conns: map[*forwarded]struct{}{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *forwarder) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		if t, ok := in.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = in.Close()
		return
	}
	c := &forwarded{by: p, in: in, out: out, pid: ownerOf(in)}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(out, in) })
	wg.Go(func() { c.copy(in, out) })
	wg.Wait()
	_, _ = in.Close(), out.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes bytes on in one direction. Those of a silent connection are lost, and so is its end.
func (c *forwarded) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		c.by.retransmit()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// retransmit waits as long as a packet is late that is lost: TCP sends it again after 200 ms, and after twice the
// time whenever it is lost again. What follows it waits for it.
func (p *forwarder) retransmit() {
	for wait := 200 * time.Millisecond; ; wait *= 2 {
		loss := p.loss.Load()
		if loss == nil || rand.Float64() >= *loss {
			return
		}
		time.Sleep(wait)
	}
}

// silence makes the open connections of some processes go silent and returns their number.
func (p *forwarder) silence(pids map[int]bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if pids[c.pid] && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// ownerOf finds the process that has dialled a loopback connection, among the children of this one.
func ownerOf(c net.Conn) int {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	local, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return 0
	}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return 0
	}
	inode := ""
	want, peer := hexAddr(remote), hexAddr(local)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == want && fields[2] == peer {
			inode = fields[9]
		}
	}
	if inode == "" {
		return 0
	}
	childrenMu.Lock()
	defer childrenMu.Unlock()
	for pid := range children {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, fd := range fds {
			if l, err := os.Readlink(fd); err == nil && l == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

var (
	childrenMu sync.Mutex
	children   = map[int]bool{}
)

func hexAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/setup"
)

// The benchmarks of this file start real processes and read what the kernel
// counts for each: processor time, memory, bytes read and written. Each runs
// one size after the other and fits a line through them, for docs/CAPACITY.md:
//
//	go test ./cmd/azurelane -run - -bench Capacity -benchtime 1x

const (
	tickTime    = 10 * time.Millisecond // Of the kernel's counters of processor time.
	measureTime = 4 * time.Second
	settleTime  = 45 * time.Second // The news of a common start travels for so long.
)

// labConfig has one pool, so that one entry owns all there is.
const labConfig = `{"base":{
  "client-accounts":{"dev":{"key-sha256":"7e9f8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e","max-connections":5000,"max-waiting":5000}},
  "tiers":{"normal":{"level":1}},
  "pools":{"demo":{"models":["demo"],"scheduler":"%s"}}
},"overlays":{}}`

// lab is a deployment that is measured.
type lab struct {
	*cluster
	b        *testing.B
	controls []*proc
	engines  int
	client   *http.Client
}

// usage is what the kernel counted for a process so far.
type usage struct {
	cpu   time.Duration
	bytes float64 // Read and written, files and sockets.
	rss   float64 // Bytes now.
}

func newLab(b *testing.B, entries, controls int, policy string) *lab {
	c := &cluster{t: b, dir: b.TempDir()}
	l := &lab{cluster: c, b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	l.controls = c.controls(controls)
	c.apply(fmt.Appendf(nil, labConfig, policy))
	c.join(entries, func(s *setup.Setup) { s.Seeds = s.Seeds[:1] })
	for _, e := range c.entries {
		c.untilReady(e)
	}
	return l
}

// engine starts a stand-in and waits until a request reaches it.
func (l *lab) engine(slots int, step time.Duration) {
	name := fmt.Sprintf("engine-%d", l.engines)
	l.engines++
	l.upstream(name, "demo", "demo", "--prefill", "0", "--crowd", "0", "--slots", strconv.Itoa(slots), "--step", step.String())
	l.until("engine", func() bool { return l.ask(0, chatPath, "", chatBody).outcome == "whole" })
}

// post sends one request and reads its answer to the end.
func (l *lab) post(ctx context.Context, entry int, key, body string) (int64, error) {
	r, err := request(ctx, l.entries[entry].Callers, chatPath, key, body)
	if err != nil {
		return 0, err
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return n, fmt.Errorf("status %d", resp.StatusCode)
	}
	return n, err
}

func (p *proc) usage(b *testing.B) usage {
	b.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	must.NoError(b, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const userTime, systemTime, pages = 11, 12, 21 // After the name, as in proc(5).
	number := func(s string) float64 {
		n, err := strconv.ParseFloat(s, 64)
		must.NoError(b, err)
		return n
	}
	u := usage{cpu: time.Duration(number(fields[userTime])+number(fields[systemTime])) * tickTime, rss: number(fields[pages]) * float64(os.Getpagesize())}
	io, err := os.ReadFile(dir + "io")
	must.NoError(b, err)
	for line := range strings.Lines(string(io)) {
		if name, n, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "rchar" || name == "wchar" {
			u.bytes += number(n)
		}
	}
	return u
}

func usages(b *testing.B, procs map[string]*proc) map[string]usage {
	b.Helper()
	all := map[string]usage{}
	for name, p := range procs {
		all[name] = p.usage(b)
	}
	return all
}

// fit is a line through measured points, with the largest distance of a point
// from it as a part of the point's value.
type fit struct{ x, y []float64 }

func (f *fit) add(x, y float64) { f.x, f.y = append(f.x, x), append(f.y, y) }

func (f *fit) String() string {
	var n, sx, sy, sxx, sxy float64
	for i := range f.x {
		n, sx, sy, sxx, sxy = n+1, sx+f.x[i], sy+f.y[i], sxx+f.x[i]*f.x[i], sxy+f.x[i]*f.y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base, off := (sy-slope*sx)/n, 0.0
	for i := range f.x {
		off = max(off, math.Abs(base+slope*f.x[i]-f.y[i])/math.Abs(f.y[i]))
	}
	return fmt.Sprintf("%.4g + %.4g a unit, off by at most %.0f%%, points %.4g at %.4g", base, slope, off*100, f.y, f.x)
}

// load runs n callers in a closed loop for a while and returns how many
// requests had a whole answer.
func (l *lab) load(n, entry int, keyed bool, pause time.Duration) int {
	ctx, cancel := context.WithTimeout(l.b.Context(), measureTime)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for i := range n {
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				key := ""
				if keyed {
					key = fmt.Sprintf("bench-%d-%d-%d-%d", n, entry, i, k)
				}
				_, err := l.post(context.WithoutCancel(ctx), entry, key, chatBody)
				mu.Lock()
				if err == nil {
					total++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return total
}

// Streams through one entry: processor time for each token passed, memory for
// each open stream.
func BenchmarkCapacityStreams(b *testing.B) {
	const step, tokens = 20 * time.Millisecond, 300
	l := newLab(b, 1, 1, "robin")
	l.engine(4096, step)
	body := fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Hello"}]}`, tokens)
	var cpu, memory fit
	for b.Loop() {
		for _, n := range []int{50, 100, 200, 400} {
			before := l.procs[0].usage(b)
			var peak usage
			var wg sync.WaitGroup
			start := time.Now()
			for range n {
				wg.Go(func() {
					if _, err := l.post(b.Context(), 0, "", body); err != nil {
						b.Error(err)
					}
				})
			}
			time.Sleep(tokens * step / 2)
			peak = l.procs[0].usage(b)
			wg.Wait()
			after := l.procs[0].usage(b)
			fmt.Printf("%d streams: %v of %v, resident %.1f MB, for each token %.2f us and %.0f bytes\n", n, after.cpu-before.cpu, time.Since(start).Round(time.Millisecond), peak.rss/1e6,
				float64((after.cpu-before.cpu).Microseconds())/float64(n*tokens), (after.bytes-before.bytes)/float64(n*tokens))
			cpu.add(float64(n*tokens), float64((after.cpu - before.cpu).Microseconds()))
			memory.add(float64(n), peak.rss/1e3)
		}
	}
	fmt.Printf("entry, us of processor a token: %v\n", &cpu)
	fmt.Printf("entry, KB resident an open stream: %v\n", &memory)
}

// Whole short answers: processor time for each request at the entry that holds
// the caller and at the owner of the pool, without and with a key.
func BenchmarkCapacityRequests(b *testing.B) {
	l := newLab(b, 2, 3, "late")
	for range 4 {
		l.engine(64, time.Millisecond)
	}
	owner, other := 0, 1
	l.until("one owner", func() bool { return owned(b, l.entries[0])+owned(b, l.entries[1]) == 1 })
	if owned(b, l.entries[1]) == 1 {
		owner, other = 1, 0
	}
	for _, keyed := range []bool{false, true} {
		parts := map[string]*proc{"entry": l.procs[other], "owner": l.procs[owner]}
		fits := map[string]*fit{"entry": {}, "owner": {}}
		for i, p := range l.controls {
			parts[p.name], fits[p.name] = l.controls[i], &fit{}
		}
		for _, n := range []int{4, 8, 16, 32} {
			before := usages(b, parts)
			total := l.load(n, other, keyed, 20*time.Millisecond)
			fmt.Printf("keyed %t, %d callers: %.0f requests/s\n", keyed, n, float64(total)/measureTime.Seconds())
			for name, p := range parts {
				fits[name].add(float64(total), float64((p.usage(b).cpu - before[name].cpu).Microseconds()))
			}
		}
		for name, f := range fits {
			fmt.Printf("keyed %t, %s, us of processor a request: %v\n", keyed, name, f)
		}
	}
}

func owned(b *testing.B, e *setup.Setup) int64 {
	var m map[string]struct {
		Value int64 `json:"value"`
	}
	must.True(b, fetch(b.Context(), "http://"+e.Operator.String()+"/metrics", &m))
	return m["pools-owned"].Value
}

// Idle entries: processor time, bytes and memory of each, and of control, as
// their number grows.
func BenchmarkCapacityIdle(b *testing.B) {
	fits := map[string]*fit{}
	note := func(name string, x, y float64) {
		if fits[name] == nil {
			fits[name] = &fit{}
		}
		fits[name].add(x, y)
	}
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			l := newLab(b, n, 3, "late")
			time.Sleep(settleTime)
			procs := map[string]*proc{"entry": l.procs[n-1]}
			for _, p := range l.controls {
				procs[p.name] = p
			}
			before := usages(b, procs)
			time.Sleep(measureTime)
			for name, p := range procs {
				u := p.usage(b)
				note(name+", us of processor a second", float64(n), float64((u.cpu-before[name].cpu).Microseconds())/measureTime.Seconds())
				note(name+", bytes a second", float64(n), (u.bytes-before[name].bytes)/measureTime.Seconds())
				note(name+", MB resident", float64(n), u.rss/1e6)
			}
		})
	}
	for name, f := range fits {
		fmt.Printf("%s, by entries of the data centre: %v\n", name, f)
	}
}

// Announcements: processor time at the pool's owner for each.
func BenchmarkCapacityAnnounce(b *testing.B) {
	l := newLab(b, 1, 1, "late")
	var cpu fit
	for b.Loop() {
		for _, n := range []int{50, 100, 200, 400} {
			before := l.procs[0].usage(b)
			sent := 0
			for end := time.Now().Add(measureTime); time.Now().Before(end); {
				round := time.Now()
				for i := range n {
					doc := fmt.Sprintf(`{"upstream":"u-%d","address":"127.0.0.1:9","incarnation":"a","seq":%d,"pools":["demo"],"models":["demo"],"max-running":16,"lease":"3s","running":4}`, i, sent)
					resp, err := l.client.Post("http://"+l.entries[0].Upstreams.String()+"/v1/announce", "application/json", strings.NewReader(doc))
					must.NoError(b, err)
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					must.Eq(b, http.StatusNoContent, resp.StatusCode)
					sent++
				}
				time.Sleep(time.Until(round.Add(time.Second)))
			}
			cpu.add(float64(sent), float64((l.procs[0].usage(b).cpu - before.cpu).Microseconds()))
		}
	}
	fmt.Printf("owner and receiving entry in one, us of processor an announcement: %v\n", &cpu)
}

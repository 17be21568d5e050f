// Command manychanges sends many changes of a large configuration. The platform's stand-in kills a
// process that uses more than its memory, and starts it again.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"review/rig"
)

const (
	memoryMB     = 280 // Of a core machine.
	routes       = 1680
	pause        = 60 * time.Millisecond // Between two changes.
	storm        = 25                    // Changes in a row.
	rest         = time.Second           // After these.
	changeFor    = 75 * time.Second
	restartDelay = 500 * time.Millisecond
	readFor      = 10 * time.Second // At the end; the pages say contact_ms, 3 s, at least.
)

// watch ends and starts a process as the platform does, and counts its ends.
func watch(p *rig.Process, rec *rig.Record, ends *int, peak *int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m := p.Memory()
		*peak = max(*peak, m)
		if m <= memoryMB {
			continue
		}
		*ends++
		rec.Add("%s uses %d MB of %d", p.Name, m, memoryMB)
		p.Signal(syscall.SIGKILL)
		<-p.Ended()
		time.Sleep(restartDelay)
		p.Start()
	}
}

func main() {
	rec := rig.NewRecord(os.Args[1])
	f := rig.New(rec, 3, 1)
	var list []any
	for i := range routes {
		list = append(list, rig.Route(fmt.Sprintf("r-%07d", i), "ficu95.example", fmt.Sprintf("/puxa%04d/", i), "wuno96b", nil))
	}
	version := 1
	if s := f.Put(rig.Config(version, nil, list...), 20*time.Second); s != http.StatusOK {
		rig.Unable("configuration not acknowledged: %d", s)
	}
	f.AwaitReady(20 * time.Second)
	stop := make(chan struct{})
	ends, peaks := make([]int, 3), make([]int, 3)
	for i, p := range f.Hubs {
		p.SetRestart()
		go watch(p, rec, &ends[i], &peaks[i], stop)
	}
	acked := version
	for start := time.Now(); time.Since(start) < changeFor; time.Sleep(pause) {
		if !rig.Trouble() && version > 5 {
			continue
		}
		if version += 3; version%(3*storm) < 3 {
			time.Sleep(rest)
		}
		list[0].(map[string]any)["timeout_ms"] = 8000 + version
		if f.Put(rig.Config(version, nil, list...), 4*time.Second) == http.StatusOK {
			acked = version
		}
		if version%30 == 1 {
			for i, p := range f.Hubs {
				rec.Add("%s: memory %d MB, peak %d, data folder %d MB, %d ends", p.Name, p.Memory(), peaks[i], p.DiskMB(), ends[i])
			}
		}
	}
	var broken []string
	if !f.Reads(acked, readFor) {
		broken = append(broken, fmt.Sprintf("read back at the end, the configuration doesn't come; version %d was acknowledged", acked))
	}
	close(stop)
	often := 0
	for i, p := range f.Hubs {
		rec.Add("%s: peak %d MB, %d ends over its memory", p.Name, peaks[i], ends[i])
		if ends[i] >= 3 {
			often++
		}
	}
	if often >= 2 {
		broken = append(broken, fmt.Sprintf("processes end by themselves three times or more on %d of 3 core machines: %v", often, ends))
	}
	f.Verdict(broken)
}

// Command headersize raises max_header_bytes and sends headers within it.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"review/rig"
)

const requests = 40

func main() {
	rec := rig.NewRecord(os.Args[1])
	f := rig.New(rec, 3, 2)
	route := rig.Route("r-828m82t", "ficu95.example", "/puxa403/", "wuno96b", nil)
	if s := f.Put(rig.Config(1, nil, route), 20*time.Second); s != http.StatusOK {
		rig.Unable("configuration not acknowledged: %d", s)
	}
	s := &rig.Server{ID: "i-7f3a91c2", Service: "wuno96b", Slots: 6, Queue: 24, Work: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }}
	s.Start(f)
	f.AwaitReady(20 * time.Second)
	time.Sleep(5 * time.Second) // All machines are in touch.
	parts := 600
	if rig.Trouble() {
		parts = 2000
		if s := f.Put(rig.Config(5, map[string]any{"max_header_bytes": 65536}, route), 20*time.Second); s != http.StatusOK {
			rig.Unable("configuration not acknowledged: %d", s)
		}
	}
	time.Sleep(rig.Apply + time.Second)
	var broken []string
	for i := range requests {
		list := make([]string, parts) // Of 20 bytes each with its comma.
		for n := range list {
			list[n] = fmt.Sprintf("%016x:10", i<<16|n)
		}
		a := f.Send(f.Gates[i%2], rig.Request{
			ID: fmt.Sprintf("9c41d07be2a35f%02x", i), Method: http.MethodGet, Host: "ficu95.example", Path: "/puxa403/2f", Deadline: 3 * time.Second,
			Header: map[string]string{"Authorization": "Bearer " + rig.Key, "Azurelane-Model": "m", "Azurelane-Token-Usage": fmt.Sprintf("%d,80", 10*parts), "Azurelane-Prompt-Prefix": strings.Join(list, ",")},
		})
		if a.Status >= 400 && a.Status < 500 && a.Status != http.StatusTooManyRequests {
			broken = append(broken, fmt.Sprintf("%s is ended with %d, though its header has %d bytes and the limit is 65536", a.ID, a.Status, 20*parts+300))
		}
	}
	if len(broken) <= 5+requests/500 {
		broken = nil // The rule allows as many.
	}
	f.Verdict(broken)
}

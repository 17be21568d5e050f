// Command hostcase adds a route whose host has a capital letter.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"review/rig"
)

const requests = 40

func main() {
	rec := rig.NewRecord(os.Args[1])
	f := rig.New(rec, 3, 2)
	first := rig.Route("r-828m82t", "ficu95.example", "/puxa403/", "wuno96b", nil)
	if s := f.Put(rig.Config(1, nil, first), 20*time.Second); s != http.StatusOK {
		rig.Unable("configuration not acknowledged: %d", s)
	}
	s := &rig.Server{ID: "i-7f3a91c2", Service: "wuno96b", Slots: 6, Queue: 24, Work: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }}
	s.Start(f)
	f.AwaitReady(20 * time.Second)
	time.Sleep(5 * time.Second) // All machines are in touch.
	host := "ficu95.example"
	if rig.Trouble() {
		host = "Lohu930.example"
		if s := f.Put(rig.Config(5, nil, first, rig.Route("r-nr26tta", host, "/puxa403/", "wuno96b", nil)), 20*time.Second); s != http.StatusOK {
			rig.Unable("configuration not acknowledged: %d", s)
		}
	}
	time.Sleep(rig.Apply + time.Second)
	var broken []string
	for i := range requests {
		a := f.Send(f.Gates[i%2], rig.Request{
			ID: fmt.Sprintf("9c41d07be2a35f%02x", i), Method: http.MethodGet, Host: host, Path: "/puxa403/2f", Deadline: 3 * time.Second,
			Header: map[string]string{"Authorization": "Bearer " + rig.Key},
		})
		if a.Status == http.StatusNotFound {
			broken = append(broken, a.ID+" is refused with 404 later than config_apply_ms after the acknowledgement, though the route is there")
		}
	}
	f.Verdict(broken)
}

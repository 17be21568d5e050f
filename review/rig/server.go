package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in of the platform's servers. Its exported fields are set before Start.
type Server struct {
	ID, Service string
	Slots       int
	Queue       int // Requests that may wait beyond the slots.
	// Work answers a request. The answer's header already names the request and bears the signature.
	Work func(w http.ResponseWriter, r *http.Request)

	fleet   *Fleet
	addr    string
	seq     atomic.Int64
	state   atomic.Value
	slots   chan struct{}
	waiting atomic.Int64
	stop    chan struct{}
	once    sync.Once
	http    *http.Server

	mu   sync.Mutex
	runs map[string]int
}

// Start starts the server and its heartbeats.
func (s *Server) Start(f *Fleet) {
	s.fleet, s.slots, s.stop, s.runs = f, make(chan struct{}, s.Slots), make(chan struct{}), map[string]int{}
	s.state.Store("ready")
	ln, err := net.Listen("tcp", f.IP()+":0")
	if err != nil {
		Unable("server: %v", err)
	}
	s.addr = ln.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	go s.beats()
}

// Addr is where the server takes requests.
func (s *Server) Addr() string { return s.addr }

// Runs returns how often each request ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]int{}
	for k, v := range s.runs {
		m[k] = v
	}
	return m
}

func (s *Server) beats() {
	tick := time.NewTicker(Heartbeat)
	defer tick.Stop()
	for {
		s.Beat()
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// Beat sends one heartbeat, to the next node if one does not answer, and reports whether it was acknowledged.
func (s *Server) Beat() bool {
	state, _ := s.state.Load().(string)
	for _, h := range s.fleet.Hubs {
		body, _ := json.Marshal(map[string]any{
			"service": s.Service, "address": s.addr, "zone": "z1", "version": "v1", "slots": s.Slots, "state": state,
			"cold_remaining_ms": 0, "stage": "colocated", "sequence": s.seq.Add(1),
		})
		status, _ := Call("POST", fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", h.IP, ControlPort, s.ID), body, time.Second)
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// SetState sets what the next heartbeats say.
func (s *Server) SetState(state string) { s.state.Store(state) }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Azurelane-Attempt-Id")
	w.Header().Set("Azurelane-Attempt-Id", id)
	if x := r.Header.Get("Azurelane-Expect-Instance"); x != "" && x != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Azurelane-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Azurelane-Instance-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), s.Slots))
	if !s.admit(r) {
		s.fleet.Rec.Add("server %s does not run %s", s.ID, id)
		w.Header().Set("Azurelane-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.fleet.Rec.Add("server %s runs %s (time %d): %s %s, tenant %q", s.ID, id, n, r.Method, r.RequestURI, r.Header.Get("Azurelane-Tenant"))
	w.Header().Set("Azurelane-Response-Signature", s.ID+"."+id+"."+strconv.Itoa(n))
	s.Work(w, r)
	s.fleet.Rec.Add("server %s has worked on %s", s.ID, id)
}

// admit waits for a slot, if there is room in the queue.
func (s *Server) admit(r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// End ends the server without a word.
func (s *Server) End() {
	s.once.Do(func() { close(s.stop) })
	_ = s.http.Close()
}

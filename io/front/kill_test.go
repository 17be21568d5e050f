package front_test

import (
	"context"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/front"
	"azurelane/io/rig/fault"
)

// mortal stands between an entry and the rest of the world. At one step of a
// request's life the entry dies: nothing that it does from then on has any
// effect, and its peers can't reach it.
type mortal struct {
	*site
	at   string
	once sync.Once
	dead chan struct{} // Closed when it dies.
	end  chan struct{} // Closed at the end of the test.
}

func (m *mortal) step(name string) error {
	if name == m.at {
		m.once.Do(func() {
			m.mesh.set(0, nil)
			close(m.dead)
		})
	}
	select {
	case <-m.dead:
		<-m.end
		return errDown
	default:
		return nil
	}
}

// between makes a call that the entry may die before or after.
func between[T any](m *mortal, before, after string, call func() (T, error)) (T, error) {
	var none T
	if err := m.step(before); err != nil {
		return none, err
	}
	out, err := call()
	if down := m.step(after); down != nil {
		return none, down
	}
	return out, err
}

func (m *mortal) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	return between(m, "grant", "granted", func() (*wire.Grant, error) { return m.granter.Grant(ctx, t) })
}

func (m *mortal) Release(r *wire.Release) {
	if m.step("release") == nil {
		m.granter.Release(r)
	}
}

func (m *mortal) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	name := "finish"
	if c.GetClaim() != nil {
		name = "claim"
	}
	return between(m, name, name+"-applied", func() (*wire.Result, error) { return m.control.Propose(ctx, c) })
}

func (m *mortal) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	if err := m.step("look"); err != nil {
		return nil, err
	}
	return m.control.Ask(ctx, build)
}

func (m *mortal) Send(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
	if err := m.step("send"); err != nil {
		return nil, true, err
	}
	resp, sent, err := m.client.Send(ctx, r)
	if down := m.step("sent"); down != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, true, down
	}
	return resp, sent, err
}

func (m *mortal) Closed(ctx context.Context, addr netip.AddrPort) bool {
	return m.client.Closed(ctx, addr)
}

// An entry is killed at each step of a keyed request's life. Its caller sees a
// broken connection and sends again, to another entry and to the new process
// in the old one's place. Until the claim was made, the second submission runs.
// From then on no one can say whether the dead entry had sent it, so the honest
// answer is unknown, and the key never runs again.
func TestHolderDiesAtEachStep(t *testing.T) {
	for _, tc := range []struct {
		at   string
		want string // Outcome of the second submission.
		code string
		runs int
	}{
		{"grant", "whole", "", 1},
		{"granted", "whole", "", 1},
		{"claim", "whole", "", 1},
		{"claim-applied", "unknown", refuse.HolderLost, 0},
		{"send", "unknown", refuse.HolderLost, 0},
		{"sent", "unknown", refuse.HolderLost, 1},
		{"release", "unknown", refuse.HolderLost, 1},
		{"finish", "unknown", refuse.HolderLost, 1},
		{"finish-applied", "unknown", refuse.AnswerGone, 1},
	} {
		t.Run(tc.at, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			m := &mortal{site: s, at: tc.at, dead: make(chan struct{}), end: make(chan struct{})}
			t.Cleanup(func() { close(m.end) })
			first := s.entries[0]
			first.Granter, first.Proposer, first.Sender = m, m, m
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go first.askCtx(ctx, ask{key: "k"})
			<-m.dead
			cancel()
			for i := range 3 {
				e := s.entries[1] // First no one listens in the dead one's place.
				if i == 1 {
					e = s.start(0)
				}
				got := e.ask(ask{key: "k"})
				must.Eq(t, tc.want, got.outcome)
				must.Eq(t, tc.code, got.code)
				must.Eq(t, tc.runs, s.runs("k"))
			}
			must.Eq(t, "whole", s.entries[1].ask(ask{key: "other"}).outcome)
		})
	}
}

// Control loses commands or their results, or is away, at each step of a keyed
// request. The entry lives, so it knows what it did: the first caller gets an
// honest answer, and when control is back the key is whole or free to run.
func TestControlFailsAtEachStep(t *testing.T) {
	for _, tc := range []struct {
		name   string
		claim  loss
		finish loss
		first  string // Outcome of the first submission.
	}{
		{"claim lost", commandLost, nothingLost, "not-run"},
		{"claim applied", resultLost, nothingLost, "not-run"},
		{"claim applied, freeing lost", resultLost, commandLost, "not-run"},
		{"claim applied, freed unheard", resultLost, resultLost, "not-run"},
		{"finish lost", nothingLost, commandLost, "whole"},
		{"finish applied", nothingLost, resultLost, "whole"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			s.control.setHook(func(c *wire.Command) loss {
				switch {
				case c.GetClaim() != nil:
					return tc.claim
				case c.GetFinish() != nil:
					return tc.finish
				}
				return nothingLost
			})
			must.Eq(t, tc.first, s.entries[0].ask(ask{key: "k"}).outcome)
			if tc.first == "not-run" {
				must.Eq(t, 0, s.runs("k"))
			}
			// The first entry's next try to record comes later than this.
			s.control.setHook(nil)
			for _, e := range []*entry{s.entries[1], s.entries[0]} {
				must.Eq(t, "whole", e.ask(ask{key: "k"}).outcome)
			}
			must.Eq(t, 1, s.runs("k"))
			s.free()
			s.eventually("the outcome is on record", func() bool {
				return s.control.outcome("k") == "whole"
			})
		})
	}
}

// Duplicates of a few keys come at two entries in any order, among faults of
// the upstream, lost commands and lost results of control, expired grants,
// callers that leave, and entries that die and come back. Whatever happens: no
// key runs twice, nothing called not-run has run, and a whole answer is the one
// of the request's own run.
func TestNoInterleavingRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite(t, 2)
		dead := deadAddress(t)
		live := s.granter.ups[0]
		var mu sync.Mutex
		var all []reply
		var wg sync.WaitGroup
		current := []*entry{s.entries[0], s.entries[1]}
		for range rapid.IntRange(3, 25).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "wait", "control", "upstream", "restart"}).Draw(rt, "step") {
			case "ask":
				a := ask{
					key:    rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(rt, "key"),
					fault:  rapid.SampledFrom([]string{"", "", "", fault.Lost, fault.Cut, fault.Foreign, fault.Double}).Draw(rt, "fault"),
					stream: rapid.Bool().Draw(rt, "stream"),
				}
				leaves := rapid.IntRange(0, 5).Draw(rt, "leaves") == 0
				e := current[rapid.IntRange(0, 1).Draw(rt, "entry")]
				wg.Go(func() {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if leaves {
						go cancel()
					}
					began := time.Now()
					got := e.askCtx(ctx, a)
					got.key, got.began = a.key, began
					mu.Lock()
					defer mu.Unlock()
					all = append(all, got)
				})
			case "wait":
				wg.Wait()
			case "control":
				kind := rapid.SampledFrom([]loss{commandLost, resultLost}).Draw(rt, "loss")
				n := rapid.IntRange(0, 3).Draw(rt, "losses")
				var hmu sync.Mutex
				s.control.setHook(func(*wire.Command) loss {
					hmu.Lock()
					defer hmu.Unlock()
					if n--; n >= 0 {
						return kind
					}
					return nothingLost
				})
			case "upstream":
				s.granter.mu.Lock()
				s.granter.ups = rapid.SampledFrom([][]string{{live}, {dead, live}, {dead}}).Draw(rt, "upstreams")
				s.granter.mu.Unlock()
			case "restart":
				i := rapid.IntRange(0, 1).Draw(rt, "entry")
				current[i].CloseClientConnections()
				current[i] = s.start(i)
			}
		}
		wg.Wait()
		check(rt, s, all)
	})
}

func check(t must.T, s *site, all []reply) {
	ran := map[string]string{} // Keys by request id.
	runs := map[string]int{}
	arrived := map[string]time.Time{}
	for _, e := range s.engine.Journal() {
		ran[e.Request] = e.Key
		if e.Key != "" {
			runs[e.Key]++
			arrived[e.Key] = e.Arrived
		}
	}
	for key, n := range runs {
		must.Eq(t, 1, n, must.Sprint("runs of ", key))
	}
	for _, r := range all {
		if r.header == nil {
			continue
		}
		id := r.header.Get(front.HeaderRequest)
		_, has := ran[id]
		if r.outcome == "not-run" {
			must.False(t, has, must.Sprint(id, " was called not-run and ran"))
			at, before := arrived[r.key]
			other := r.code == refuse.KeyMismatch // Said of another request, which hasn't run.
			must.False(t, before && !other && at.Before(r.began), must.Sprint(id, " was called not-run and its key had run before"))
		}
		if r.outcome != "whole" {
			continue
		}
		must.NoError(t, r.err)
		must.StrContains(t, r.body, "t2 ")
		// Its body names the run that it came from: its own or, for a joiner, one
		// of the same key.
		from := bodyID.FindStringSubmatch(r.body)
		must.SliceLen(t, 2, from)
		key, known := ran[from[1]]
		must.True(t, known)
		must.Eq(t, r.key, key, must.Sprint(id, " got the answer of ", from[1]))
		if key == "" {
			must.Eq(t, id, from[1])
		}
	}
}

var bodyID = regexp.MustCompile(`"id":"([^"]+)"`)

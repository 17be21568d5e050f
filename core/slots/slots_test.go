package slots_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/slot"
	"azurelane/core/slots"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model is the naive version: a list of what is held, and what was released.
type model struct {
	held     []*wire.HeldSlot
	since    []time.Time
	released map[string]bool
}

func name(incarnation, owner string, ticket, slot uint64) string {
	return fmt.Sprint(incarnation, owner, ticket, slot)
}

func (m *model) find(incarnation string, ticket uint64) int {
	for i, h := range m.held {
		if h.GetTicket().GetIncarnation() == incarnation && h.GetTicket().GetId() == ticket {
			return i
		}
	}
	return -1
}

func (m *model) drop(i int) {
	m.held = append(m.held[:i:i], m.held[i+1:]...)
	m.since = append(m.since[:i:i], m.since[i+1:]...)
}

// Slots that leak make an upstream smaller for ever, and slots freed twice
// overload it. Whatever is granted, released late or twice, cancelled, listed
// in part or forgotten: each upstream counts just the slots that a plain list
// holds.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ups := []*upstr.Upstream{upstr.New("a"), upstr.New("b")}
		byName := func(n string) *upstr.Upstream { return ups[n[0]-'a'] }
		var s slots.Slots
		m := model{released: map[string]bool{}}
		now := time.Unix(0, 0)
		var past []*wire.HeldSlot // All grants ever, for late releases and old lists.
		incarnations := []string{"x", "y"}
		ticket := func() *wire.Ticket {
			return &wire.Ticket{Id: rapid.Uint64Range(1, 6).Draw(t, "id"), Incarnation: rapid.SampledFrom(incarnations).Draw(t, "inc"), PromptTokens: 3}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) {
				tk := ticket()
				if m.find(tk.GetIncarnation(), tk.GetId()) >= 0 {
					return
				}
				u := rapid.SampledFrom(ups).Draw(t, "up")
				d := s.Grant(now, &slot.Slot{Up: u, Ticket: tk, Long: tk.GetId()%2 == 0}, time.Second)
				h := &wire.HeldSlot{Ticket: tk, Grant: d.GetGrant()}
				m.held, m.since = append(m.held, h), append(m.since, now)
				past = append(past, h)
			},
			"free": func(t *rapid.T) {
				if len(past) == 0 {
					return
				}
				h := rapid.SampledFrom(past).Draw(t, "past")
				got := s.Free(now, &wire.Release{
					Ticket: h.GetTicket().GetId(), Incarnation: h.GetTicket().GetIncarnation(),
					Owner: h.GetGrant().GetOwner(), Slot: h.GetGrant().GetSlot(),
				})
				i := m.find(h.GetTicket().GetIncarnation(), h.GetTicket().GetId())
				want := i >= 0 && m.held[i].GetGrant().GetSlot() == h.GetGrant().GetSlot()
				must.Eq(t, want, got != nil)
				if want {
					m.drop(i)
					m.released[name(h.GetTicket().GetIncarnation(), "", h.GetTicket().GetId(), h.GetGrant().GetSlot())] = true
				}
			},
			"cancel": func(t *rapid.T) {
				tk := ticket()
				i := m.find(tk.GetIncarnation(), tk.GetId())
				must.Eq(t, i >= 0, s.Cancel(now, tk.GetIncarnation(), tk.GetId()) != nil)
				if i >= 0 {
					m.released[name(tk.GetIncarnation(), "", tk.GetId(), m.held[i].GetGrant().GetSlot())] = true
					m.drop(i)
				}
			},
			"hold": func(t *rapid.T) {
				inc := rapid.SampledFrom(incarnations).Draw(t, "inc")
				var list []*wire.HeldSlot
				var brief []uint64
				listed := map[uint64]bool{}
				for _, h := range past {
					if h.GetTicket().GetIncarnation() == inc && !listed[h.GetTicket().GetId()] && rapid.Bool().Draw(t, "listed") {
						listed[h.GetTicket().GetId()] = true
						if rapid.Bool().Draw(t, "brief") {
							brief = append(brief, h.GetTicket().GetId())
							continue
						}
						list = append(list, h)
					}
				}
				s.Hold(now, inc, list, brief, byName)
				for i := len(m.held) - 1; i >= 0; i-- {
					h := m.held[i]
					if h.GetTicket().GetIncarnation() == inc && !listed[h.GetTicket().GetId()] && now.Sub(m.since[i]) > slots.HeldGrace {
						m.drop(i)
					}
				}
				for _, h := range list {
					known := m.released[name(inc, "", h.GetTicket().GetId(), h.GetGrant().GetSlot())]
					if !known && m.find(inc, h.GetTicket().GetId()) < 0 {
						m.held, m.since = append(m.held, h), append(m.since, now)
					}
				}
			},
			"forget": func(t *rapid.T) {
				inc := rapid.SampledFrom(incarnations).Draw(t, "inc")
				s.Forget(inc)
				for i := len(m.held) - 1; i >= 0; i-- {
					if m.held[i].GetTicket().GetIncarnation() == inc {
						m.drop(i)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				must.Eq(t, len(m.held), s.Len())
				for _, u := range ups {
					n := 0
					for _, h := range m.held {
						if h.GetGrant().GetUpstream() == u.GetUpstream() {
							n++
						}
					}
					must.Eq(t, n, u.Running)
					must.Eq(t, int64(3*n), u.Tokens)
				}
			},
		})
	})
}

// A run that no entry ends by itself would hold its slot for ever: the sweep
// frees it once no entry can still be running it.
func TestSweep(t *testing.T) {
	var s slots.Slots
	u, now := upstr.New("a"), time.Unix(0, 0)
	s.Grant(now, &slot.Slot{Up: u, Ticket: &wire.Ticket{Id: 1}}, time.Second)
	s.Sweep(now.Add(time.Minute), time.Minute, func(*slot.Slot) {})
	must.Eq(t, 1, u.Running)
	s.Sweep(now.Add(time.Minute+1), time.Minute, func(*slot.Slot) {})
	must.Eq(t, 0, u.Running)
}

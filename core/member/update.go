package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// spreadFactor times log2 of the members is how often one rumour is passed on:
// enough to reach all with high probability, by the SWIM paper.
const spreadFactor = 3

// rumour is news that still travels.
type rumour struct {
	*wire.Member
	sent int
}

// apply takes one record, first or second hand.
func (d *Detector) apply(now time.Time, m *wire.Member) {
	if m.GetNode() == d.Self.GetNode() {
		d.refute(now, m)
		return
	}
	if m.GetDataCentre() != d.Self.GetDataCentre() || m.GetNode() == "" {
		return
	}
	old := d.peers[m.GetNode()]
	if old == nil {
		d.peers[m.GetNode()] = &peer{proto.CloneOf(m), now}
		if live(m) {
			d.ring = slices.Insert(d.ring, d.rng.IntN(len(d.ring)+1), m.GetNode())
			d.note(m)
		}
		return
	}
	if !newer(m, old.Member) {
		d.stale(m, old)
		return
	}
	if old.GetIncarnation() != m.GetIncarnation() && live(old.Member) {
		// The VM was restarted: what the old incarnation held is free at once,
		// without waiting for a suspicion that would never come, because the new
		// one answers the probes.
		gone := proto.CloneOf(old.Member)
		gone.State = wire.Member_STATE_DEAD
		d.changes = append(d.changes, gone)
	}
	since := now
	if old.GetState() == m.GetState() && old.GetVersion() == m.GetVersion() && old.GetBornUs() == m.GetBornUs() {
		since = old.since
	}
	d.peers[m.GetNode()] = &peer{proto.CloneOf(m), since}
	if !live(old.Member) && live(m) {
		d.ring = append(d.ring, m.GetNode())
	}
	d.note(m)
	if m.GetState() == wire.Member_STATE_SUSPECT && d.Observers > 1 && !slices.Contains(m.GetObservers(), d.Self.GetNode()) {
		d.ring = slices.Insert(d.ring, 0, m.GetNode()) // Be an observer too, soon.
	}
}

// stale takes from a record that is no news the observers that a known suspicion
// lacks.
func (d *Detector) stale(m *wire.Member, old *peer) {
	if m.GetBornUs() != old.GetBornUs() || m.GetState() != wire.Member_STATE_SUSPECT || old.GetState() != wire.Member_STATE_SUSPECT || m.GetVersion() != old.GetVersion() {
		return
	}
	n := len(old.GetObservers())
	for _, o := range m.GetObservers() {
		if !slices.Contains(old.GetObservers(), o) && len(old.GetObservers()) < d.Observers {
			old.Observers = append(old.Observers, o)
		}
	}
	if len(old.GetObservers()) > n {
		d.tell(old.Member)
	}
}

// refute answers news about this member itself that is wrong. Only the member
// itself raises its version, so its word wins over every observer's.
func (d *Detector) refute(now time.Time, m *wire.Member) {
	switch {
	case m.GetBornUs() > d.Self.GetBornUs():
		// The VM's clock went back over a restart: without a higher birth the
		// others would go on taking this incarnation for the older one.
		d.Self.BornUs = m.GetBornUs() + 1
	case m.GetBornUs() < d.Self.GetBornUs() || m.GetVersion() < d.Self.GetVersion() || m.GetState() == wire.Member_STATE_ALIVE || d.Self.GetState() == wire.Member_STATE_LEFT:
		return
	default:
		d.Self.Version = m.GetVersion() + 1
		d.health = min(d.health+1, maxHealth)
		if m.GetState() == wire.Member_STATE_DEAD {
			d.rest(now)
		}
	}
	d.tell(d.Self)
}

// rest gives up this member's pools for a while after it was taken for dead
// without being so. Its pools have moved already; moving them back at once, and
// away again at the next hiccup, costs every waiting ticket a re-send each time.
func (d *Detector) rest(now time.Time) {
	if now.After(d.calm) {
		d.flaps = 0
	}
	d.restEnds = now.Add(min(d.Rest<<min(d.flaps, 8), restMost))
	d.calm = d.restEnds.Add(calmAfter)
	d.flaps++
	d.Self.Resting = true
}

// newer reports whether record m replaces record old of the same node.
func newer(m, old *wire.Member) bool {
	if m.GetBornUs() != old.GetBornUs() {
		return m.GetBornUs() > old.GetBornUs()
	}
	if old.GetState() == wire.Member_STATE_LEFT || m.GetState() == wire.Member_STATE_LEFT {
		return old.GetState() != wire.Member_STATE_LEFT
	}
	if m.GetVersion() != old.GetVersion() {
		return m.GetVersion() > old.GetVersion()
	}
	return m.GetState() > old.GetState() ||
		(m.GetState() == wire.Member_STATE_SUSPECT && old.GetState() == m.GetState() && subset(old.GetObservers(), m.GetObservers()))
}

// subset reports whether b holds all of a and more.
func subset(a, b []string) bool {
	for _, s := range a {
		if !slices.Contains(b, s) {
			return false
		}
	}
	return len(b) > len(a)
}

func (d *Detector) note(m *wire.Member) {
	d.changes = append(d.changes, proto.CloneOf(m))
	d.tell(m)
}

// tell lets a record travel.
func (d *Detector) tell(m *wire.Member) { d.rumours[m.GetNode()] = &rumour{Member: proto.CloneOf(m)} }

// updates picks the rumours for one message, those told least first, within
// MaxBytes: however much happens at once, a message stays small and the rest
// follows on the next ones. A receiver that is not taken for alive always hears
// that, whatever else there is, because only it can refute it.
func (d *Detector) updates(to *wire.Member) []*wire.Member {
	var out []*wire.Member
	left := d.MaxBytes
	if p := d.peers[to.GetNode()]; p != nil && p.GetState() != wire.Member_STATE_ALIVE {
		out = append(out, proto.CloneOf(p.Member))
		left -= proto.Size(p.Member)
	}
	list := make([]*rumour, 0, len(d.rumours))
	for _, r := range d.rumours {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	most := spreadFactor * bits.Len(uint(len(d.peers)+1))
	for _, r := range list {
		size := proto.Size(r.Member)
		if size > left || (r.GetNode() == to.GetNode() && len(out) > 0) {
			continue
		}
		left -= size
		out = append(out, proto.CloneOf(r.Member))
		if r.sent++; r.sent >= most {
			delete(d.rumours, r.GetNode())
		}
	}
	return out
}

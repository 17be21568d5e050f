package member

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// probeNext probes the next member of a shuffled round. A round instead of a
// random choice bounds the time until a dead member is probed.
func (d *Detector) probeNext(now time.Time) []*wire.Probe {
	for range 2 {
		for len(d.ring) > 0 {
			name := d.ring[0]
			d.ring = d.ring[1:]
			if p := d.peers[name]; p != nil && live(p.Member) {
				return d.probe(now, p.Member)
			}
		}
		d.ring = slices.Sorted(maps.Keys(d.peers))
		d.rng.Shuffle(len(d.ring), func(i, j int) { d.ring[i], d.ring[j] = d.ring[j], d.ring[i] })
	}
	return nil
}

func (d *Detector) probe(now time.Time, m *wire.Member) []*wire.Probe {
	for _, p := range d.probes {
		if p.target == m.GetNode() {
			return nil
		}
	}
	d.seq++
	d.probes[d.seq] = &probe{target: m.GetNode(), at: now}
	return []*wire.Probe{d.message(wire.Probe_KIND_PING, d.seq, m)}
}

// watch asks others to probe what did not answer directly, and suspects what
// did not answer them either. A member whose own probes fail one after the other
// is likely the one in trouble (frozen for a moment, its network card bad), so
// each failure makes it more patient; the symptom without it is one sick member
// that has all the healthy ones taken for dead.
func (d *Detector) watch(now time.Time) []*wire.Probe {
	patience := time.Duration(1 + d.health)
	var out []*wire.Probe
	for _, seq := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[seq]
		age := now.Sub(p.at)
		target := d.peers[p.target]
		switch {
		case target == nil || !live(target.Member):
			delete(d.probes, seq)
		case age >= d.Period*patience:
			delete(d.probes, seq)
			d.health = min(d.health+1, maxHealth)
			d.suspect(now, target)
		case age >= d.Timeout*patience && !p.asked:
			p.asked = true
			for _, m := range d.pick(d.Indirect, p.target) {
				ask := d.message(wire.Probe_KIND_ASK, seq, m)
				ask.Target = proto.CloneOf(target.Member)
				out = append(out, ask)
			}
		}
	}
	for seq, r := range d.relays {
		if now.Sub(r.at) > d.Period*(1+maxHealth) {
			delete(d.relays, seq)
		}
	}
	return out
}

func (d *Detector) acked(p *wire.Probe) []*wire.Probe {
	if r := d.relays[p.GetSeq()]; r != nil {
		delete(d.relays, p.GetSeq())
		return []*wire.Probe{d.message(wire.Probe_KIND_ACK, r.seq, &wire.Member{Address: r.to})}
	}
	if _, ok := d.probes[p.GetSeq()]; ok {
		delete(d.probes, p.GetSeq())
		d.health = max(d.health-1, 0)
	}
	return nil
}

// suspect records that this member itself found another silent.
func (d *Detector) suspect(now time.Time, p *peer) {
	m := proto.CloneOf(p.Member)
	m.State = wire.Member_STATE_SUSPECT
	if !slices.Contains(m.GetObservers(), d.Self.GetNode()) {
		m.Observers = append(m.Observers, d.Self.GetNode())
	}
	d.apply(now, m)
}

// judge takes suspects for dead whose time is over.
func (d *Detector) judge(now time.Time) {
	var due []string
	for name, p := range d.peers {
		if p.GetState() == wire.Member_STATE_SUSPECT || (!live(p.Member) && now.Sub(p.since) > forgetAfter) {
			due = append(due, name)
		}
	}
	slices.Sort(due) // The same input gives the same messages.
	for _, name := range due {
		p := d.peers[name]
		age := now.Sub(p.since)
		switch {
		case !live(p.Member):
			delete(d.peers, name)
		case age >= d.Slow || (age >= d.Suspect && d.agreed(p)):
			m := proto.CloneOf(p.Member)
			m.State, m.Observers = wire.Member_STATE_DEAD, nil
			d.apply(now, m)
		}
	}
}

// agreed reports whether enough members found the suspect silent themselves.
func (d *Detector) agreed(p *peer) bool {
	others := 1
	for _, o := range d.peers {
		if o.GetState() == wire.Member_STATE_ALIVE {
			others++
		}
	}
	return len(p.GetObservers()) >= min(d.Observers, others)
}

// syncOne compares members with one that may know others: a seed, or any
// member, also one taken for dead. That ends the state after a cut in which
// each side takes the other for dead and no one probes across any more.
func (d *Detector) syncOne(now time.Time) []*wire.Probe {
	d.sync = now.Add(syncEvery)
	to := slices.Clone(d.Seeds)
	alone := true
	for _, name := range slices.Sorted(maps.Keys(d.peers)) {
		to = append(to, d.peers[name].GetAddress())
		alone = alone && !live(d.peers[name].Member)
	}
	to = slices.DeleteFunc(to, func(a string) bool { return a == d.Self.GetAddress() })
	if alone {
		d.sync = now.Add(joinEvery)
	} else if len(to) > 0 {
		to = []string{to[d.rng.IntN(len(to))]}
	}
	var out []*wire.Probe
	for _, a := range to {
		m := d.message(wire.Probe_KIND_SYNC, 0, &wire.Member{Address: a})
		m.Digest = d.digest()
		out = append(out, m)
	}
	return out
}

// list sends all that is known, and not only the live: the other side learns
// whom it was taken for dead by, and can refute it.
func (d *Detector) list(to *wire.Member) *wire.Probe {
	out := d.message(wire.Probe_KIND_LIST, 0, to)
	out.Updates = nil
	for _, name := range slices.Sorted(maps.Keys(d.peers)) {
		out.Updates = append(out.Updates, proto.CloneOf(d.peers[name].Member))
	}
	return out
}

// digest is equal for two members that know the same live ones.
func (d *Detector) digest() uint64 {
	sum := hash(d.Self)
	for _, p := range d.peers {
		if live(p.Member) {
			sum ^= hash(p.Member)
		}
	}
	return sum
}

func hash(m *wire.Member) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(m.GetNode()), m.GetBornUs())
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, m.GetVersion()))
}

// Package member is the failure detector of one data centre, after SWIM (Das,
// Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002): each member probes one other a period, and
// what it learns travels on the probes of all.
package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// Defaults for the settings that a Detector leaves at zero.
const (
	DefaultPeriod    = 500 * time.Millisecond
	DefaultTimeout   = 150 * time.Millisecond
	DefaultSuspect   = 1500 * time.Millisecond
	DefaultSlow      = 4500 * time.Millisecond
	DefaultIndirect  = 3
	DefaultObservers = 3
	DefaultMaxBytes  = 320
	DefaultRest      = 10 * time.Second
)

const (
	syncEvery   = 5 * time.Second
	joinEvery   = time.Second     // While it knows no one.
	forgetAfter = 5 * time.Minute // A dead member's record, so that late news can't bring it back.
	restMost    = 2 * time.Minute
	calmAfter   = 10 * time.Minute // Without a false death, the next rest is short again.
	leaveFanout = 8
	maxHealth   = 4
)

type (
	// Detector is one member's view. Its exported fields are set before use; the
	// zero value of each takes a default. It reads no clock and sends nothing: every
	// method takes the time and returns the messages to send, of which any may
	// be lost. One goroutine at a time calls it.
	Detector struct {
		Self      *wire.Member  // Owned by the detector from the first call on.
		Seeds     []string      // Addresses to join by.
		Period    time.Duration // Between two probes.
		Timeout   time.Duration // For a direct answer, before others are asked to probe.
		Suspect   time.Duration // From a suspicion to the verdict when enough observers agree.
		Slow      time.Duration // The same with fewer observers.
		Indirect  int           // Members asked to probe; below zero for none.
		Observers int           // Members that must have found a suspect silent themselves.
		MaxBytes  int           // Of the updates on one message.
		Rest      time.Duration // Without pools after a false death; doubles with each.
		Seed      uint64        // Of the random order.

		rng      *rand.Rand
		peers    map[string]*peer  // By node, like the ring and the rumours.
		ring     []string          // Still to be probed in this round.
		probes   map[uint64]*probe // By number, like the relays.
		relays   map[uint64]*relay
		rumours  map[string]*rumour
		changes  []*wire.Member // Since the last call of Changes.
		seq      uint64         // Number of the last probe.
		health   int            // Of this member itself: zero is good.
		next     time.Time      // When the next probe is due.
		sync     time.Time      // When the next comparison is due.
		restEnds time.Time
		calm     time.Time // After it a false death counts as the first again.
		flaps    int       // False deaths that count.
		draining bool
	}

	peer struct {
		*wire.Member
		since time.Time // Of the state.
	}

	// probe is one that waits for its answer.
	probe struct {
		target string
		at     time.Time
		asked  bool
	}

	// relay is a probe made for another member.
	relay struct {
		to  string
		seq uint64
		at  time.Time
	}
)

func (d *Detector) start(now time.Time) {
	if d.peers != nil {
		return
	}
	d.Period = cmp.Or(d.Period, DefaultPeriod)
	d.Timeout = cmp.Or(d.Timeout, DefaultTimeout)
	d.Suspect = cmp.Or(d.Suspect, DefaultSuspect)
	d.Slow = cmp.Or(d.Slow, DefaultSlow)
	d.Indirect = cmp.Or(d.Indirect, DefaultIndirect)
	d.Observers = cmp.Or(d.Observers, DefaultObservers)
	d.MaxBytes = cmp.Or(d.MaxBytes, DefaultMaxBytes)
	d.Rest = cmp.Or(d.Rest, DefaultRest)
	d.rng = rand.New(rand.NewPCG(d.Seed, d.Seed)) //nolint:gosec // Spreads probes, no secret.
	d.peers, d.probes = map[string]*peer{}, map[uint64]*probe{}
	d.relays, d.rumours = map[uint64]*relay{}, map[string]*rumour{}
	d.next = now.Add(time.Duration(d.rng.Int64N(int64(d.Period))))
}

// Members lists every member that is not gone, this one among them, by node.
func (d *Detector) Members() []*wire.Member {
	list := []*wire.Member{proto.CloneOf(d.Self)}
	for _, p := range d.peers {
		if live(p.Member) {
			list = append(list, proto.CloneOf(p.Member))
		}
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return list
}

// Owners lists the members that pools may fall to: all that are not resting,
// or all when every one is.
func (d *Detector) Owners() []*wire.Member {
	all := d.Members()
	var list []*wire.Member
	for _, m := range all {
		if !m.GetResting() {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// Changes returns the members whose record changed since the last call, as
// they are now; one incarnation replaced by another comes back as dead first.
func (d *Detector) Changes() []*wire.Member {
	c := d.changes
	d.changes = nil
	return c
}

// Drain makes this member own nothing from now on. It stays a member.
func (d *Detector) Drain(now time.Time) []*wire.Probe {
	d.start(now)
	d.draining = true
	d.Self.Resting = true
	d.Self.Version++
	return d.spread()
}

// Leave is the last word of this incarnation.
func (d *Detector) Leave(now time.Time) []*wire.Probe {
	d.start(now)
	d.Self.State = wire.Member_STATE_LEFT
	d.Self.Version++
	return d.spread()
}

// spread tells the news about this member to several at once; the rest hear it
// from them.
func (d *Detector) spread() []*wire.Probe {
	d.tell(d.Self)
	var out []*wire.Probe
	for _, p := range d.pick(leaveFanout, "") {
		out = append(out, d.message(wire.Probe_KIND_PING, 0, p))
	}
	return out
}

// Tick does what has become due: probes, suspicions, verdicts. It wants to be
// called several times a Timeout.
func (d *Detector) Tick(now time.Time) []*wire.Probe {
	d.start(now)
	if d.Self.GetState() == wire.Member_STATE_LEFT {
		return nil
	}
	out := d.watch(now)
	d.judge(now)
	if !now.Before(d.next) {
		d.next = now.Add(d.Period)
		out = append(out, d.probeNext(now)...)
	}
	if !now.Before(d.sync) {
		out = append(out, d.syncOne(now)...)
	}
	if d.Self.GetResting() && !d.draining && !now.Before(d.restEnds) {
		d.Self.Resting = false
		d.Self.Version++
		d.tell(d.Self)
	}
	return out
}

// Take handles a message and returns the answers.
func (d *Detector) Take(now time.Time, p *wire.Probe) []*wire.Probe {
	d.start(now)
	from := p.GetFrom()
	if from.GetNode() == d.Self.GetNode() || from.GetDataCentre() != d.Self.GetDataCentre() || d.Self.GetState() == wire.Member_STATE_LEFT {
		return nil
	}
	d.apply(now, from)
	for _, m := range p.GetUpdates() {
		d.apply(now, m)
	}
	switch p.GetKind() {
	case wire.Probe_KIND_LIST: // Its updates are all there is to it.
	case wire.Probe_KIND_ACK:
		return d.acked(p)
	case wire.Probe_KIND_ASK:
		d.seq++
		d.relays[d.seq] = &relay{from.GetAddress(), p.GetSeq(), now}
		return []*wire.Probe{d.message(wire.Probe_KIND_PING, d.seq, p.GetTarget())}
	case wire.Probe_KIND_SYNC:
		if p.GetDigest() != d.digest() {
			return []*wire.Probe{d.list(from)}
		}
	case wire.Probe_KIND_PING:
		if p.GetSeq() > 0 {
			return []*wire.Probe{d.message(wire.Probe_KIND_ACK, p.GetSeq(), from)}
		}
	}
	return nil
}

// message builds one with the updates that fit.
func (d *Detector) message(kind wire.Probe_Kind, seq uint64, to *wire.Member) *wire.Probe {
	return &wire.Probe{Kind: kind, Seq: seq, From: proto.CloneOf(d.Self), To: to.GetAddress(), Updates: d.updates(to)}
}

// pick returns up to n random live members other than the named one.
func (d *Detector) pick(n int, not string) []*wire.Member {
	names := slices.Sorted(maps.Keys(d.peers))
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var list []*wire.Member
	for _, name := range names {
		if p := d.peers[name]; len(list) < n && name != not && p.GetState() == wire.Member_STATE_ALIVE {
			list = append(list, p.Member)
		}
	}
	return list
}

func live(m *wire.Member) bool {
	return m.GetState() == wire.Member_STATE_ALIVE || m.GetState() == wire.Member_STATE_SUSPECT
}

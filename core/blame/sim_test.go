package blame

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

var simSeeds = flag.Uint64("blame.seeds", 4, "Number of seeds of each simulation.")

const (
	simStep   = 5 * time.Millisecond
	simSlots  = 8
	simBegins = 100 * time.Millisecond // From the send of a request until it is answered, as entries know.
	simLasts  = 700 * time.Millisecond
	simBack   = 2 * time.Second
	simNews   = 50 * time.Millisecond // From a change at the scheduler until entries know.
	simReport = 150 * time.Millisecond
	simBad    = "bad"
)

type (
	simUpstream struct {
		id    int
		until time.Time // It is away until then.
		runs  []*simRun
	}

	simRun struct {
		digest  digest.Digest
		parts   []string
		sent    time.Time
		crashes time.Time // Zero for a sound request.
		told    bool      // Its answer has begun.
	}

	simReported struct {
		due   time.Time
		crash *wire.Crash
		at    time.Time
	}

	// simPlay is a pool of upstreams, one scheduler and its entries.
	simPlay struct {
		rnd       *rand.Rand
		now       time.Time
		blame     Blame
		upstreams []*simUpstream
		next      uint64
		reported  []simReported
		news      []simList
		known     simList // What entries know.
		crashed   int
		randomly  float64 // Crashes a second of each upstream that have no cause.
		sent, bad int
		wrongly   []string // Sound requests that were refused, by their parts.
		banAt     time.Time
		fifthAt   time.Time
		late      int // Bad requests that were sent later than 3 s after the fifth crash.
	}

	simList struct {
		due     time.Time
		banned  []*wire.Ban
		watched map[digest.Digest]time.Time
	}
)

func (p *simPlay) keys(parts []string) []digest.Digest {
	var keys []digest.Digest
	for _, name := range parts {
		keys = append(keys, Key("account", name))
	}
	return keys
}

// refuses reports whether entries refuse a request by what they know.
func (p *simPlay) refuses(parts []string) bool {
	var b Blame
	for _, n := range p.known.banned {
		b.RecordBan(p.now, n)
	}
	key, refused := b.Refuses(p.keys(parts))
	return refused && !p.blame.Try(p.now, key)
}

// send sends one request to an upstream that has room.
func (p *simPlay) send(bad bool) {
	parts := []string{"first", fmt.Sprint("second-", int(p.rnd.ExpFloat64()*4)), fmt.Sprint("third-", p.rnd.IntN(3))}
	if bad {
		parts[p.rnd.IntN(3)] = simBad
	}
	if len(p.known.banned) > 0 && p.refuses(parts) {
		if !bad {
			p.wrongly = append(p.wrongly, fmt.Sprint(parts))
		}
		return
	}
	var up *simUpstream
	for _, i := range p.rnd.Perm(len(p.upstreams)) {
		if u := p.upstreams[i]; !p.now.Before(u.until) && len(u.runs) < simSlots {
			up = u
			break
		}
	}
	if up == nil {
		return
	}
	p.next++
	r := &simRun{digest: digest.Of("account", "h", "/x", binary.BigEndian.AppendUint64(nil, p.next)), parts: parts, sent: p.now}
	p.sent++
	if bad {
		r.crashes = p.now.Add(65*time.Millisecond + time.Duration(45+p.rnd.IntN(55))*time.Millisecond)
		p.bad++
		if !p.fifthAt.IsZero() && p.now.After(p.fifthAt.Add(3*time.Second)) {
			p.late++
		}
	}
	up.runs = append(up.runs, r)
}

// crash ends an upstream.
func (p *simPlay) crash(u *simUpstream) {
	if p.crashed++; p.crashed == 5 {
		p.fifthAt = p.now
	}
	name := fmt.Sprint(u.id, "@", p.now.UnixNano())
	for _, r := range u.runs {
		c := &wire.Crash{Digest: r.digest[:], Upstream: name, Account: "account", RunUs: p.now.Sub(r.sent).Microseconds()}
		if !r.told {
			for _, part := range r.parts {
				key := Key("account", part)
				c.Parts = append(c.Parts, &wire.CrashPart{Key: key[:], Name: part})
			}
		}
		p.reported = append(p.reported, simReported{p.now.Add(time.Duration(p.rnd.Int64N(int64(simReport)))), c, p.now})
	}
	u.runs, u.until = nil, p.now.Add(simBack)
}

func (p *simPlay) step(rate, share float64) {
	p.now = p.now.Add(simStep)
	for range poisson(p.rnd, rate*simStep.Seconds()) {
		p.send(p.rnd.Float64() < share)
	}
	for _, u := range p.upstreams {
		if p.now.Before(u.until) {
			continue
		}
		if p.rnd.Float64() < p.randomly*simStep.Seconds() || slices.ContainsFunc(u.runs, func(r *simRun) bool { return !r.crashes.IsZero() && !p.now.Before(r.crashes) }) {
			p.crash(u)
			continue
		}
		for _, r := range u.runs {
			if !r.told && p.now.Sub(r.sent) >= simBegins && r.crashes.IsZero() {
				r.told = true
				p.begun(r)
			}
		}
		u.runs = slices.DeleteFunc(u.runs, func(r *simRun) bool { return p.now.Sub(r.sent) >= simLasts })
	}
	p.schedule()
}

// begun reports the parts of a request that is answered, where entries watch them.
func (p *simPlay) begun(r *simRun) {
	for _, key := range p.keys(r.parts) {
		if first, ok := p.known.watched[key]; ok && r.sent.After(first) {
			p.blame.Clear(key, r.sent)
		}
	}
}

// schedule delivers reports to the scheduler, and its news to entries.
func (p *simPlay) schedule() {
	before := p.blame.Revision()
	p.reported = slices.DeleteFunc(p.reported, func(r simReported) bool {
		if p.now.Before(r.due) {
			return false
		}
		r.crash.AgeUs = p.now.Sub(r.at).Microseconds()
		p.blame.Record(p.now, r.crash)
		return true
	})
	if len(p.blame.Evaluate(p.now)) > 0 && p.banAt.IsZero() {
		p.banAt = p.now
	}
	if p.blame.Revision() != before {
		n := simList{due: p.now.Add(simNews), watched: map[digest.Digest]time.Time{}}
		var watched []*wire.Watched
		n.banned, watched = p.blame.Bans(p.now)
		for _, w := range watched {
			key, _ := digest.From(w.GetDigest())
			n.watched[key] = p.now.Add(-micros(w.GetAgeUs()))
		}
		p.news = append(p.news, n)
	}
	for len(p.news) > 0 && !p.now.Before(p.news[0].due) {
		p.known, p.news = p.news[0], p.news[1:]
	}
}

// poisson returns a random number of events.
func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// Guards against sound parts that are banned beside a bad one, or beside crashes without a cause, and
// against a bad part that goes on to crash upstreams.
func TestIdentification(t *testing.T) {
	for _, tc := range []struct {
		name      string
		upstreams int
		rate      float64 // Requests a second.
		share     float64 // Of bad ones.
		randomly  float64
	}{
		{"1 in 100", 12, 100, 0.01, 0},
		{"5 in 100", 12, 100, 0.05, 0},
		{"20 in 100", 12, 100, 0.2, 0},
		{"20 in 100, few upstreams", 5, 40, 0.2, 0},
		{"5 in 100, crashes without a cause", 12, 100, 0.05, 0.05},
		{"only crashes without a cause", 12, 100, 0, 0.2},
		{"rare", 12, 60, 0.02, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			most, sum, wrongly, late := 0, 0, 0, 0
			var slowest time.Duration
			for seed := range *simSeeds {
				p := &simPlay{rnd: rand.New(rand.NewPCG(seed, 56)), now: start, randomly: tc.randomly} //nolint:gosec // Repeats.
				for i := range tc.upstreams {
					p.upstreams = append(p.upstreams, &simUpstream{id: i})
				}
				for p.now.Sub(start) < 20*time.Second {
					p.step(tc.rate, tc.share)
				}
				wrongly, late, most, sum = wrongly+len(p.wrongly), max(late, p.late), max(most, p.bad), sum+p.bad
				if len(p.wrongly) > 0 {
					t.Log("seed", seed, "wrongly refused", len(p.wrongly), p.wrongly[0])
				}
				if tc.share > 0 {
					must.False(t, p.banAt.IsZero(), must.Sprint("seed ", seed, ": not banned"))
					slowest = max(slowest, p.banAt.Sub(start))
				}
			}
			t.Logf("bad requests sent: %.1f in the mean, %d at most, %d at most late; banned after %v at most; %d sound requests refused",
				float64(sum)/float64(*simSeeds), most, late, slowest, wrongly)
			must.Eq(t, 0, wrongly)
			must.LessEq(t, 3, late)
		})
	}
}

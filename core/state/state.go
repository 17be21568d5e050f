// Package state is the replicated state machine: the configuration in force,
// the claims of idempotency keys and the orders to upstreams.
package state

import (
	"container/heap"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/order"
	"azurelane/core/roster"
	"azurelane/core/sites"
	"azurelane/core/wire"
)

// Result codes of commands.
const (
	OK       = "ok"       // Done; a claim is the caller's.
	Running  = "running"  // The claim is held and its run is not finished.
	Finished = "finished" // The claim's run has finished.
	Mismatch = "mismatch" // The key was claimed with another body.
	Conflict = "conflict" // Another change holds the version.
	Invalid  = "invalid"  // The document can't be put in force.
	Gone     = "gone"     // No such claim, or held by another.
	Full     = "full"     // No room for another claim.
)

// NotRun is the outcome that frees a claim.
const NotRun = "not-run"

// freedKeep is how long a freed claim is remembered, in microseconds: longer
// than a copy of its claim or finish can be under way.
const freedKeep = int64(time.Minute / time.Microsecond)

// MaxClaims bounds the claims that are remembered. Without a bound a burst of
// keys, kept for a day, would take the memory of every replica at once, and
// with it every claim; with it the claims beyond are refused before they run.
// At 300 bytes each they stay within 128 MB.
const MaxClaims = 400000

// MaxChangeResults is how many change ids are remembered, so that a change sent
// again gets the answer of the first time.
const MaxChangeResults = 4096

type (
	// State is the machine. Equal commands in equal order make equal states; it
	// reads no clock. The zero value is empty and ready.
	State struct {
		version  uint64
		change   string
		document []byte
		claims   map[claimKey]*wire.ClaimState
		results  map[string]*wire.Result
		ids      []string // Change ids, oldest first.
		orders   order.Order
		clock    int64 // Highest leader's clock seen, in microseconds.
		ends     ends

		published   uint64 // Version of the publication.
		publication []byte
		roster      roster.Roster
		bans        bans
	}

	claimKey struct{ account, key string }
)

// Apply runs one command.
func (s *State) Apply(c *wire.Command) *wire.Result {
	s.clock = max(s.clock, c.GetClaim().GetNowUs(), c.GetFinish().GetNowUs(), c.GetExpire().GetNowUs(), c.GetOrderStart().GetNowUs())
	switch k := c.GetKind().(type) {
	case *wire.Command_Claim:
		return s.claim(k.Claim)
	case *wire.Command_Finish:
		return s.finish(k.Finish)
	case *wire.Command_Expire:
		return s.expire()
	case *wire.Command_Change:
		return s.changed(c.GetId(), k.Change)
	case *wire.Command_OrderStart:
		return s.orders.Start(c.GetId(), k.OrderStart)
	case *wire.Command_OrderEnd:
		return s.orders.End(k.OrderEnd)
	case *wire.Command_Publish:
		return s.publish(k.Publish)
	case *wire.Command_Enroll:
		s.roster.Enroll(k.Enroll.GetUpstream())
		return &wire.Result{Code: OK}
	case *wire.Command_RecordBans:
		return s.bans.record(k.RecordBans)
	case *wire.Command_Barrier:
		return &wire.Result{Code: OK}
	}
	return &wire.Result{Code: Invalid, Text: fmt.Sprintf("state: no such command %T", c.GetKind())}
}

// Validate checks the document of a change and writes the verdict into the
// command. The leader does it once, before the command enters the log: replicas
// of unlike program versions may judge a document differently, and their states
// would part if each judged for itself.
func Validate(c *wire.Command) {
	k := c.GetChange()
	if k == nil {
		return
	}
	k.Invalid = ""
	set, err := sites.Parse(k.GetDocument())
	if err == nil {
		err = set.Served()
	}
	if err != nil {
		k.Invalid = err.Error()
	}
}

// Version is the number of the configuration in force, zero before the first.
func (s *State) Version() uint64 { return s.version }

// ChangeID is the id of the change in force.
func (s *State) ChangeID() string { return s.change }

// Document is the set in force. The caller must not change it.
func (s *State) Document() []byte { return s.document }

// ClockUs is the highest leader's clock that the state has seen, in microseconds.
func (s *State) ClockUs() int64 { return s.clock }

// HasExpiredClaims reports whether a finished claim's time is over at a leader's clock.
func (s *State) HasExpiredClaims(nowUs int64) bool { return len(s.ends) > 0 && s.ends[0].at <= nowUs }

// ClaimCount is the number of claims remembered.
func (s *State) ClaimCount() int { return len(s.claims) }

// Publication is the published document of the highest version and its version,
// zero before the first. The caller must not change it.
func (s *State) Publication() (uint64, []byte) { return s.published, s.publication }

// Roster lists the upstreams. The caller must not change it.
func (s *State) Roster() *roster.Roster { return &s.roster }

// publish keeps the document of the highest version. The result names the
// version in force, which tells the sender of an older one that it was overtaken.
func (s *State) publish(p *wire.Publish) *wire.Result {
	if p.GetVersion() > s.published {
		s.published, s.publication = p.GetVersion(), p.GetDocument()
	}
	return &wire.Result{Code: OK, Version: s.published}
}

func (s *State) claim(c *wire.Claim) *wire.Result {
	k := claimKey{c.GetAccount(), c.GetKey()}
	old, ok := s.claims[k]
	same := old.GetHolder() == c.GetHolder() && old.GetRequest() == c.GetRequest()
	if old.GetOutcome() == NotRun && same {
		// A late copy of the claim must not take the key again: nobody would
		// ever finish it, and the caller was told to send the request anew.
		return &wire.Result{Code: Gone}
	}
	if !ok || old.GetOutcome() == NotRun {
		if !ok && len(s.claims) >= MaxClaims {
			return &wire.Result{Code: Full, Text: "too many keys are remembered; a shorter claim-keep would free them sooner"}
		}
		if s.claims == nil {
			s.claims = map[claimKey]*wire.ClaimState{}
		}
		s.claims[k] = &wire.ClaimState{
			Account: c.GetAccount(), Key: c.GetKey(), BodyHash: c.GetBodyHash(), Holder: c.GetHolder(),
			Address: c.GetAddress(), KeepUs: c.GetKeepUs(), Request: c.GetRequest(),
			ExpiresUs: claimEnd(c),
		}
		s.endsAt(k, claimEnd(c))
		return &wire.Result{Code: OK, Holder: c.GetHolder()}
	}
	if old.GetBodyHash() != c.GetBodyHash() {
		return &wire.Result{Code: Mismatch, Text: "the key was used with another body"}
	}
	// The same holder and request again is a claim whose answer was lost: it
	// gets the answer of the first time, or the entry would join itself.
	if same && old.GetOutcome() == "" {
		return &wire.Result{Code: OK, Holder: c.GetHolder()}
	}
	return held(old)
}

// ClaimHolder tells who holds a key, as a claim would be told; OK when no one does.
func (s *State) ClaimHolder(account, key string) *wire.Result {
	c, ok := s.claims[claimKey{account, key}]
	if !ok || c.GetOutcome() == NotRun {
		return &wire.Result{Code: OK}
	}
	return held(c)
}

func held(old *wire.ClaimState) *wire.Result {
	code := Running
	if old.GetOutcome() != "" {
		code = Finished
	}
	return &wire.Result{
		Code: code, Holder: old.GetHolder(), Address: old.GetAddress(), Outcome: old.GetOutcome(), Request: old.GetRequest(),
	}
}

// claimEnd is when a claim ends whose holder never records an outcome, because
// it died; without one such claims would pile up for ever. A claim that its
// leader gave no time never ends: ended too early, its key could run twice.
func claimEnd(c *wire.Claim) int64 {
	if c.GetNowUs() == 0 {
		return 0
	}
	return c.GetNowUs() + c.GetKeepUs()
}

// finish records an outcome once. A finish that comes late must not touch the
// claim of a newer request of the same entry, and one that says not-run must
// not free a key whose run is on record: either would let the key run twice.
func (s *State) finish(f *wire.Finish) *wire.Result {
	k := claimKey{f.GetAccount(), f.GetKey()}
	c, ok := s.claims[k]
	if !ok || c.GetHolder() != f.GetHolder() || (f.GetRequest() != 0 && c.GetRequest() != f.GetRequest()) {
		return &wire.Result{Code: Gone}
	}
	switch c.GetOutcome() {
	case "":
	case f.GetOutcome():
		return &wire.Result{Code: OK}
	default:
		return &wire.Result{Code: Gone}
	}
	// An image that is being written may hold the old message.
	c = proto.CloneOf(c)
	s.claims[k] = c
	c.Outcome = f.GetOutcome()
	c.ExpiresUs = s.clock + c.GetKeepUs()
	if c.GetOutcome() == NotRun {
		// Nothing ran, so the key is free again: the caller was told that it
		// may send the request a second time.
		c.ExpiresUs = s.clock + freedKeep
	}
	s.endsAt(k, c.GetExpiresUs())
	return &wire.Result{Code: OK}
}

func (s *State) expire() *wire.Result {
	for s.HasExpiredClaims(s.clock) {
		k := heap.Pop(&s.ends).(end).key
		if c := s.claims[k]; c.GetExpiresUs() > 0 && c.GetExpiresUs() <= s.clock {
			delete(s.claims, k)
		}
	}
	return &wire.Result{Code: OK}
}

// changed puts a new document in force if its base is still the version in
// force. Two operators who start from the same version can't both win.
func (s *State) changed(id string, c *wire.Change) *wire.Result {
	if r, ok := s.results[id]; ok {
		return proto.CloneOf(r)
	}
	r := s.decide(id, c)
	if s.results == nil {
		s.results = map[string]*wire.Result{}
	}
	s.results[id] = r
	s.ids = append(s.ids, id)
	if len(s.ids) > MaxChangeResults {
		delete(s.results, s.ids[0])
		s.ids = s.ids[1:]
	}
	return proto.CloneOf(r)
}

func (s *State) decide(id string, c *wire.Change) *wire.Result {
	if c.GetBase() != s.version {
		return &wire.Result{Code: Conflict, Version: s.version, Winner: s.change, Text: "made from another version"}
	}
	if c.GetInvalid() != "" {
		return &wire.Result{Code: Invalid, Version: s.version, Text: c.GetInvalid()}
	}
	s.version++
	s.change = id
	s.document = c.GetDocument()
	return &wire.Result{Code: OK, Version: s.version, Winner: id}
}

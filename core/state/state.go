// Package state implements the replicated state machine of the control group. It holds the
// configuration, the claims on idempotency keys, the orders to upstreams, the upstream roster,
// the bans, the rollouts and the cordons.
package state

import (
	"container/heap"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/census"
	"azurelane/core/cordon"
	"azurelane/core/deploy"
	"azurelane/core/permit"
	"azurelane/core/roster"
	"azurelane/core/sites"
	"azurelane/core/wire"
)

// Result codes of commands.
const (
	OK       = "ok"       // The command took effect; a claim belongs to the caller.
	Running  = "running"  // The key is claimed and its run has not finished.
	Finished = "finished" // The key is claimed and its run has finished.
	Mismatch = "mismatch" // The key was claimed with a different request body.
	Conflict = "conflict" // The change was made from a version that is not in force.
	Invalid  = "invalid"  // The command or its document is invalid.
	Gone     = "gone"     // The claim is missing, was freed or does not match.
	Full     = "full"     // MaxClaims claims are already stored.
)

// NotRun is the outcome of a request that was never sent to an upstream. It frees the claim.
const NotRun = "not-run"

// freedClaimRetentionUs is how long a freed claim is stored, in microseconds. It exceeds the
// time for which a duplicate of the Claim or Finish command can be in transit.
const freedClaimRetentionUs = int64(time.Minute / time.Microsecond)

// MaxClaims limits the number of stored claims. Without a limit, a burst of keys that are kept for
// a day could exhaust the memory of all replicas at once, and every claim would be lost. With it,
// requests over the limit are refused before they run. At 300 bytes per claim, the claims need at
// most 128 MB.
const MaxClaims = 400000

// MaxChangeResults is the number of changes and cordon orders whose results are stored, so that one
// that is sent again gets its original result.
const MaxChangeResults = 4096

type (
	// State is the replicated state machine. It reads no clock, and the same commands in the
	// same order always produce the same state. The zero value is empty and ready to use.
	State struct {
		configVersion  uint64
		changeID       string
		configDocument []byte
		claims         map[claimKey]*wire.ClaimState
		changeResults  map[string]*wire.Result
		changeIDs      []string // Keys of changeResults, oldest first.
		orders         permit.Orders
		clockUs        int64 // Highest leader time in any command so far.
		expiries       expiryHeap

		publicationVersion uint64 // Zero before the first publication.
		publication        []byte
		roster             roster.Roster
		bans               bans
		deploy             deploy.Deploy
		cordons            cordon.Cordon
		versions           census.Census // Of upstreams, with times of the leader's clock.
	}

	claimKey struct{ account, key string }
)

// Apply executes one command and returns its result.
func (s *State) Apply(c *wire.Command) *wire.Result {
	s.clockUs = max(s.clockUs, c.GetClaim().GetNowUs(), c.GetFinish().GetNowUs(), c.GetExpire().GetNowUs(), c.GetOrderStart().GetNowUs(), c.GetStartRollout().GetNowUs(), c.GetOrderCordon().GetNowUs(), c.GetEnroll().GetNowUs())
	switch k := c.GetKind().(type) {
	case *wire.Command_Claim:
		return s.claim(k.Claim)
	case *wire.Command_Finish:
		return s.finish(k.Finish)
	case *wire.Command_Expire:
		return s.expire()
	case *wire.Command_Change:
		return s.applyChange(c.GetId(), k.Change)
	case *wire.Command_OrderStart:
		return s.orders.Start(c.GetId(), k.OrderStart)
	case *wire.Command_OrderEnd:
		return s.orders.End(k.OrderEnd)
	case *wire.Command_Publish:
		return s.publish(k.Publish)
	case *wire.Command_Enroll:
		if s.roster.Enroll(k.Enroll.GetUpstream()) {
			s.observeVersion(k.Enroll.GetUpstream().GetId())
		}
		s.deploy.Observe(k.Enroll.GetUpstream().GetPool(), k.Enroll.GetUpstream().GetVersion())
		return &wire.Result{Code: OK}
	case *wire.Command_RecordBans:
		return s.bans.record(k.RecordBans)
	case *wire.Command_StartRollout:
		return s.deploy.Start(k.StartRollout)
	case *wire.Command_AdvanceRollout:
		return s.deploy.Advance(k.AdvanceRollout)
	case *wire.Command_OrderCordon:
		return s.applyCordon(c.GetId(), func() *wire.Result { return s.cordons.Order(c.GetId(), k.OrderCordon, &s.roster) })
	case *wire.Command_LiftCordon:
		return s.applyCordon(c.GetId(), func() *wire.Result { return s.cordons.Lift(k.LiftCordon, &s.roster) })
	case *wire.Command_Barrier:
		return &wire.Result{Code: OK}
	}
	return &wire.Result{Code: Invalid, Text: fmt.Sprintf("state: no such command %T", c.GetKind())}
}

// Validate checks the document of a Change command and stores the error, if any, in the command.
// It does nothing for other commands. The leader calls it once, before the command is appended
// to the log. Replicas that run different program versions may validate a document differently,
// so their states would diverge if each replica validated it.
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

// Version returns the version of the configuration in force, or zero before the first one.
func (s *State) Version() uint64 { return s.configVersion }

// ChangeID returns the id of the change that set the configuration in force.
func (s *State) ChangeID() string { return s.changeID }

// Document returns the configuration in force as JSON. The caller must not modify it.
func (s *State) Document() []byte { return s.configDocument }

// ClockUs returns the highest leader time in any command so far, in microseconds.
func (s *State) ClockUs() int64 { return s.clockUs }

// HasExpiredClaims reports whether an Expire command at the leader time nowUs, in microseconds,
// would have work to do. It may also return true for an outdated heap entry of a claim that has
// since been extended.
func (s *State) HasExpiredClaims(nowUs int64) bool {
	return len(s.expiries) > 0 && s.expiries[0].atUs <= nowUs
}

// ClaimCount returns the number of stored claims, including finished and freed ones.
func (s *State) ClaimCount() int { return len(s.claims) }

// Publication returns the published document with the highest version and that version, which
// is zero before the first publication. The caller must not modify the document.
func (s *State) Publication() (uint64, []byte) { return s.publicationVersion, s.publication }

// Roster returns the list of upstreams. The caller must not modify it.
func (s *State) Roster() *roster.Roster { return &s.roster }

// Cordons returns the cordons of upstreams. The caller must not modify them.
func (s *State) Cordons() *cordon.Cordon { return &s.cordons }

// Deploy returns the rollouts and the versions of pools. The caller must not modify it.
func (s *State) Deploy() *deploy.Deploy { return &s.deploy }

// publish stores the document if its version is the highest so far. The result has the highest
// version, so the sender of an older document learns that it was superseded.
func (s *State) publish(p *wire.Publish) *wire.Result {
	if p.GetVersion() > s.publicationVersion {
		s.publicationVersion, s.publication = p.GetVersion(), p.GetDocument()
	}
	return &wire.Result{Code: OK, Version: s.publicationVersion}
}

// claim assigns a free key to a request, or returns the state of the existing claim.
func (s *State) claim(c *wire.Claim) *wire.Result {
	k := claimKey{c.GetAccount(), c.GetKey()}
	old, ok := s.claims[k]
	sameRequest := old.GetHolder() == c.GetHolder() && old.GetRequest() == c.GetRequest()
	if old.GetOutcome() == NotRun && sameRequest {
		// A delayed duplicate of a freed claim must not claim the key again. The claim would
		// never be finished, and the client was already told to send the request again.
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
			ExpiresUs: claimExpiryUs(c),
		}
		s.scheduleExpiry(k, claimExpiryUs(c))
		return &wire.Result{Code: OK, Holder: c.GetHolder()}
	}
	if old.GetBodyHash() != c.GetBodyHash() {
		return &wire.Result{Code: Mismatch, Text: "the key was used with another body"}
	}
	// The same holder and request claim again when the first reply was lost. They get the
	// original result; otherwise the entry process would try to join its own run.
	if sameRequest && old.GetOutcome() == "" {
		return &wire.Result{Code: OK, Holder: c.GetHolder()}
	}
	return claimResult(old)
}

// ClaimHolder returns the result that a competing claim on the key would get: Running or Finished
// with the holder, or OK if the key is free.
func (s *State) ClaimHolder(account, key string) *wire.Result {
	c, ok := s.claims[claimKey{account, key}]
	if !ok || c.GetOutcome() == NotRun {
		return &wire.Result{Code: OK}
	}
	return claimResult(c)
}

// claimResult describes an existing claim to another request for the same key.
func claimResult(old *wire.ClaimState) *wire.Result {
	code := Running
	if old.GetOutcome() != "" {
		code = Finished
	}
	return &wire.Result{
		Code: code, Holder: old.GetHolder(), Address: old.GetAddress(), Outcome: old.GetOutcome(), Request: old.GetRequest(),
	}
}

// claimExpiryUs returns the leader time, in microseconds, at which a claim expires if its holder
// crashes and never records an outcome. Without an expiry, such claims would accumulate. A claim
// without a leader time never expires (zero), because a request whose claim expires too early
// could run twice.
func claimExpiryUs(c *wire.Claim) int64 {
	if c.GetNowUs() == 0 {
		return 0
	}
	return c.GetNowUs() + c.GetKeepUs()
}

// finish records the outcome of a claim; only the first outcome counts. A delayed Finish must not
// change the claim of a newer request of the same holder, and a Finish with NotRun must not free a
// key whose run is already recorded. In both cases the request could run twice.
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
	// An image that is being encoded may still refer to the old message.
	c = proto.CloneOf(c)
	s.claims[k] = c
	c.Outcome = f.GetOutcome()
	c.ExpiresUs = s.clockUs + c.GetKeepUs()
	if c.GetOutcome() == NotRun {
		// The request did not run, so its key is free again: the client was told that it may
		// send the request a second time.
		c.ExpiresUs = s.clockUs + freedClaimRetentionUs
	}
	s.scheduleExpiry(k, c.GetExpiresUs())
	return &wire.Result{Code: OK}
}

// expire deletes the claims and the cordons whose expiry time has passed.
func (s *State) expire() *wire.Result {
	s.cordons.Expire(s.clockUs)
	for s.HasExpiredClaims(s.clockUs) {
		k := heap.Pop(&s.expiries).(expiry).key
		if c := s.claims[k]; c.GetExpiresUs() > 0 && c.GetExpiresUs() <= s.clockUs {
			delete(s.claims, k)
		}
	}
	return &wire.Result{Code: OK}
}

// applyChange puts a new configuration in force if its base is the version in force. Of two
// operators who start from the same version, only one succeeds. A change that is sent again gets
// its original result.
func (s *State) applyChange(id string, c *wire.Change) *wire.Result {
	return s.applyOnce(id, func() *wire.Result { return s.decideChange(id, c) })
}

// applyCordon executes a command about a cordon once. Without an ID, the command could not be told from
// one that is sent again.
func (s *State) applyCordon(id string, apply func() *wire.Result) *wire.Result {
	if id == "" {
		return &wire.Result{Code: Invalid, Text: "the command has no ID"}
	}
	return s.applyOnce(id, apply)
}

// applyOnce executes a command of an operator, or returns its result if a command with the same ID was
// executed before. Results of refused commands are stored, too: a delayed duplicate must not take effect
// after its sender was told that it was refused.
func (s *State) applyOnce(id string, apply func() *wire.Result) *wire.Result {
	if r, ok := s.changeResults[id]; ok {
		return proto.CloneOf(r)
	}
	r := apply()
	if s.changeResults == nil {
		s.changeResults = map[string]*wire.Result{}
	}
	s.changeResults[id] = r
	s.changeIDs = append(s.changeIDs, id)
	if len(s.changeIDs) > MaxChangeResults {
		delete(s.changeResults, s.changeIDs[0])
		s.changeIDs = s.changeIDs[1:]
	}
	return proto.CloneOf(r)
}

// decideChange executes a change that has no stored result.
func (s *State) decideChange(id string, c *wire.Change) *wire.Result {
	if c.GetBase() != s.configVersion {
		return &wire.Result{Code: Conflict, Version: s.configVersion, Winner: s.changeID, Text: "made from another version"}
	}
	if c.GetInvalid() != "" {
		return &wire.Result{Code: Invalid, Version: s.configVersion, Text: c.GetInvalid()}
	}
	s.configVersion++
	s.changeID = id
	s.configDocument = c.GetDocument()
	return &wire.Result{Code: OK, Version: s.configVersion, Winner: id}
}

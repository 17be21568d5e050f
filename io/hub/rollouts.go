package hub

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/canary"
	"azurelane/core/deploy"
	"azurelane/core/wire"
)

type (
	// rollouts holds, at a scheduler, which versions of a pool's upstreams get its requests. The
	// zero value is ready.
	rollouts struct {
		update        sync.Mutex // Held by updateRollouts, so that an older state never replaces a newer one.
		mu            sync.Mutex
		splits        map[string]*wire.Split // By pool; replaced, never modified.
		trials        map[string]*trial      // Rollouts in progress, by pool.
		recorded      uint64                 // Revision of the recorded rollouts that the splits follow.
		revision      uint64
		phaseRevision uint64
		change        signal // Of what phaseRevision counts.
	}

	// trial is a rollout in progress at the leader.
	trial struct {
		*wire.Rollout
		judge     canary.Canary
		step      canary.Step
		advancing bool      // A command is on its way to the log.
		recorded  time.Time // Last proposal of the elapsed time.
	}

	// standing is what rollouts mean for one upstream.
	standing struct {
		version string // Empty where the pool keeps no versions apart.
		held    bool   // It gets no requests, because of its version.
	}

	// rolloutClock measures how much of a rollout's length has passed, by steady clocks: those of
	// this replica and of the entries, each from when it learned of the rollout. The longest of
	// these times is never too long, so a new leader goes on where the rollout stands and does not
	// end it early. The time of day, which may be stepped, does not count. The zero value is ready.
	rolloutClock struct {
		mu    sync.Mutex
		since map[string]observed // By pool.
	}

	observed struct {
		rollout *wire.Rollout
		at      time.Time
	}
)

const (
	rolloutInterval = 50 * time.Millisecond // Between two decisions about rollouts.
	// elapsedRecordInterval is the time between two records of a rollout's elapsed time, which is
	// what a stop of all replicas may lose of it.
	elapsedRecordInterval = time.Second
	// advanceTimeout bounds how long a command about a rollout may take.
	advanceTimeout = time.Second
)

// observe notes when this replica first sees each state of a rollout.
func (c *rolloutClock) observe(now time.Time, list []*wire.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = map[string]observed{}
	}
	for _, r := range list {
		old, ok := c.since[r.GetPool()]
		if ok && old.rollout.GetNumber() == r.GetNumber() {
			// The time measured here may be ahead of what the leader recorded.
			if passed := old.rollout.GetElapsedUs() + now.Sub(old.at).Microseconds(); passed >= r.GetElapsedUs() {
				continue
			}
		}
		c.since[r.GetPool()] = observed{r, now}
	}
}

// learn takes for how long an entry has known of a rollout.
func (c *rolloutClock) learn(now time.Time, r *wire.Rollout, age time.Duration) {
	if age > c.elapsed(now, r) {
		ahead := proto.CloneOf(r)
		ahead.ElapsedUs = age.Microseconds()
		c.observe(now, []*wire.Rollout{ahead})
	}
}

// elapsed returns the time since the order of a rollout.
func (c *rolloutClock) elapsed(now time.Time, r *wire.Rollout) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.since[r.GetPool()]
	if !ok || o.rollout.GetNumber() != r.GetNumber() {
		return micros(r.GetElapsedUs())
	}
	return max(micros(o.rollout.GetElapsedUs())+now.Sub(o.at), micros(r.GetElapsedUs()))
}

// observeLog keeps the clock of rollouts and the cordons up to date, on any replica.
func (h *Hub) observeLog() {
	h.updateCordons(h.scheduler())
	list, _, _ := h.Replica.Rollouts()
	if len(list) > 0 {
		h.clock.observe(time.Now(), list)
	}
}

// refreshRollouts takes recorded rollouts that have changed since the last update. What is told of
// upstreams must not be ahead of it: an upstream of a new version would get requests for a moment.
func (h *Hub) refreshRollouts(s *scheduler) {
	_, _, revision := h.Replica.Rollouts()
	s.rollouts.mu.Lock()
	current := s.rollouts.recorded == revision
	s.rollouts.mu.Unlock()
	if !current {
		h.updateRollouts(s)
	}
}

// updateRollouts takes the recorded rollouts, decides on those in progress and puts the splits in
// force.
func (h *Hub) updateRollouts(s *scheduler) {
	s.rollouts.update.Lock()
	defer s.rollouts.update.Unlock()
	now := time.Now()
	list, versions, revision := h.Replica.Rollouts()
	s.rollouts.mu.Lock()
	s.rollouts.recorded = revision
	splits := map[string]*wire.Split{}
	known := map[string]bool{}
	for _, r := range list {
		known[r.GetPool()] = true
	}
	for _, v := range versions {
		if h.HoldVersions || known[v.GetPool()] {
			splits[v.GetPool()] = &wire.Split{Pool: v.GetPool(), Base: v.GetVersion()}
		}
	}
	for _, r := range list {
		if deploy.Ended(r) || s.scope != scopeDeployment {
			h.endTrial(s, r)
			continue
		}
		splits[r.GetPool()] = h.decideRollout(s, now, r)
	}
	changed, phase := s.rollouts.put(splits)
	s.rollouts.mu.Unlock()
	if !changed {
		return
	}
	if phase {
		for _, a := range s.upstreams.setStandings(now, func(u *wire.Upstream) standing { return standingIn(splits, u) }) {
			s.announce(a)
		}
	}
	for pool := range splits {
		s.sched.SetVersions(pool, s.rollouts.version)
	}
}

// put replaces the splits and reports whether they have changed, and whether that concerns more
// than shares. r.mu must be held.
func (r *rollouts) put(splits map[string]*wire.Split) (changed, phase bool) {
	if maps.EqualFunc(r.splits, splits, func(a, b *wire.Split) bool { return proto.Equal(a, b) }) {
		return false, false
	}
	phase = !maps.EqualFunc(r.splits, splits, func(a, b *wire.Split) bool {
		return a.GetBase() == b.GetBase() && a.GetTo() == b.GetTo() && a.GetNumber() == b.GetNumber() && a.GetReporting() == b.GetReporting()
	})
	r.splits = splits
	r.revision++
	if phase {
		r.phaseRevision++
		r.change.broadcast()
	}
	return true, phase
}

// endTrial forgets a rollout that is over, or that another scheduler decides on.
func (h *Hub) endTrial(s *scheduler, r *wire.Rollout) {
	t := s.rollouts.trials[r.GetPool()]
	if t == nil {
		return
	}
	delete(s.rollouts.trials, r.GetPool())
	target, total := t.judge.Counts()
	h.Log.Info("Rollout ended.", "pool", r.GetPool(), "number", r.GetNumber(), "to", r.GetTo(), "phase", r.GetPhase().String(),
		"cause", r.GetCause(), "requests-to-version", target, "requests", total)
	h.Stats.Count("rollouts-ended", 1)
}

// decideRollout decides how a rollout in progress goes on, and returns the split that is in force
// meanwhile. s.rollouts.mu must be held.
func (h *Hub) decideRollout(s *scheduler, now time.Time, r *wire.Rollout) *wire.Split {
	t := s.rollouts.trials[r.GetPool()]
	if t == nil || t.GetNumber() != r.GetNumber() {
		t = &trial{recorded: now}
		t.judge.Limits = canary.Limits{Share: h.RolloutShare, Slack: h.RolloutSlack, Length: micros(r.GetLengthUs())}
		if s.rollouts.trials == nil {
			s.rollouts.trials = map[string]*trial{}
		}
		s.rollouts.trials[r.GetPool()] = t
		h.Log.Info("Rollout in progress.", "pool", r.GetPool(), "number", r.GetNumber(), "base", r.GetBase(), "to", r.GetTo(),
			"length", micros(r.GetLengthUs()).String(), "phase", r.GetPhase().String())
	}
	t.Rollout = r
	elapsed := h.clock.elapsed(now, r)
	slots := s.upstreams.slotsByVersion(r.GetPool())
	t.step = t.judge.Decide(canary.Situation{
		Phase: r.GetPhase(), Elapsed: elapsed, Entries: int(h.entriesHere(s)),
		BaseCapacity: slots[r.GetBase()], TargetCapacity: slots[r.GetTo()],
	})
	if !t.advancing && (t.step.Phase != r.GetPhase() || now.Sub(t.recorded) >= elapsedRecordInterval) {
		t.advancing, t.recorded = true, now
		go h.advanceRollout(s, t, &wire.AdvanceRollout{
			Pool: r.GetPool(), Number: r.GetNumber(), Phase: t.step.Phase, ElapsedUs: elapsed.Microseconds(), Cause: t.step.Cause,
		})
	}
	return t.split()
}

// split returns the split that is in force. A version that was found to be bad gets nothing from
// that moment on, also while its rollback has not been recorded yet.
func (t *trial) split() *wire.Split {
	s := &wire.Split{Pool: t.GetPool(), Base: t.GetBase(), To: t.GetTo(), Number: t.GetNumber(), Reporting: true}
	if t.step.Phase == wire.Rollout_PHASE_ROLLED_BACK {
		return s
	}
	s.Share = t.step.Share
	for _, route := range slices.Sorted(maps.Keys(t.step.Slow)) {
		share, ok := t.step.Routes[route]
		if !ok {
			share = s.GetShare()
		}
		s.Shares = append(s.Shares, &wire.RouteShare{Route: route, Share: share, SlowUs: t.step.Slow[route].Microseconds()})
	}
	return s
}

// advanceRollout records a step of a rollout in the log.
func (h *Hub) advanceRollout(s *scheduler, t *trial, a *wire.AdvanceRollout) {
	ctx, cancel := context.WithTimeout(context.Background(), advanceTimeout)
	defer cancel()
	res, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_AdvanceRollout{AdvanceRollout: a}})
	if a.GetCause() != "" {
		h.Log.Info("Rollout advances.", "pool", a.GetPool(), "number", a.GetNumber(), "phase", a.GetPhase().String(), "cause", a.GetCause(),
			"elapsed", micros(a.GetElapsedUs()).String(), "code", res.GetCode(), "err", errText(err))
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	t.advancing = false
}

// version returns the version of upstreams that may run a ticket; empty for any. A request that is
// sent again, possibly because the target version failed it, goes to the base version.
func (r *rollouts) version(t *wire.Ticket) string {
	r.mu.Lock()
	s := r.splits[t.GetPool()]
	r.mu.Unlock()
	switch {
	case t.GetBound():
		return t.GetBegan()
	case s == nil:
		return ""
	case t.GetReturned():
		return s.GetBase()
	}
	return canary.Version(s, t.GetRoute(), t.GetRequest())
}

// bind binds a ticket to the version at which its stream began. It returns false if the rollouts
// leave no upstream of that version to it: neither a version that was rolled back nor one that has
// not been proved yet gets requests, also those that go on there.
func (r *rollouts) bind(t *wire.Ticket, version string) bool {
	r.mu.Lock()
	s := r.splits[t.GetPool()]
	r.mu.Unlock()
	if s != nil && version == "" {
		version = s.GetBase() // An upstream that names no version counts as being of the base version.
	}
	t.Bound, t.Began = true, version
	switch {
	case s == nil, version == s.GetBase():
		return true
	case version == s.GetTo():
		return canary.Share(s, t.GetRoute()) > 0
	}
	return false
}

// standing returns what the rollouts mean for an upstream.
func (r *rollouts) standing(u *wire.Upstream) standing {
	r.mu.Lock()
	splits := r.splits
	r.mu.Unlock()
	return standingIn(splits, u)
}

// standingIn returns what splits mean for an upstream. One that names no version counts as being of
// the base version.
func standingIn(splits map[string]*wire.Split, u *wire.Upstream) standing {
	s := splits[u.GetPool()]
	switch v := u.GetVersion(); {
	case s == nil:
		return standing{version: v}
	case v == "":
		return standing{version: s.GetBase()}
	default:
		return standing{version: v, held: v != s.GetBase() && v != s.GetTo()}
	}
}

// busy reports whether a rollout is in progress here.
func (r *rollouts) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.trials) > 0
}

// inForce returns the splits for an entry.
func (r *rollouts) inForce(scheduler string) *wire.Rollouts {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := &wire.Rollouts{Scheduler: scheduler, Revision: r.revision, PhaseRevision: r.phaseRevision}
	for _, pool := range slices.Sorted(maps.Keys(r.splits)) {
		list.Splits = append(list.Splits, r.splits[pool])
	}
	return list
}

// changed returns a channel that closes when the splits next change in more than shares.
func (r *rollouts) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change.wait()
}

// forget drops the running requests of an entry that is gone.
func (r *rollouts) forget(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trials {
		t.judge.Forget(incarnation)
	}
}

// handleRollouts answers a frame about rollouts.
func (h *Hub) handleRollouts(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	if ev := f.GetEvidence(); ev != nil {
		return h.handleEvidence(ev)
	}
	return h.readRollouts(ctx, f.GetRolloutQuery().GetPool())
}

// handleEvidence takes what an entry sees of rollouts, and answers with the splits in force.
func (h *Hub) handleEvidence(ev *wire.Evidence) (*wire.Frame, error) {
	s := h.leaderScheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	s.rollouts.mu.Lock()
	for _, e := range ev.GetRollouts() {
		if t := s.rollouts.trials[e.GetPool()]; t != nil && t.GetNumber() == e.GetNumber() {
			t.judge.Record(ev.GetIncarnation(), e)
			h.clock.learn(time.Now(), t.Rollout, micros(e.GetAgeUs()))
		}
	}
	s.rollouts.mu.Unlock()
	return &wire.Frame{Body: &wire.Frame_Rollouts{Rollouts: s.rollouts.inForce(s.id)}}, nil
}

// hasPool reports whether the published configuration has a pool, or there is none yet.
func (h *Hub) hasPool(name string) (bool, error) {
	v, doc := h.Replica.Publication()
	if v == 0 {
		return true, nil
	}
	cfg, err := h.Parse(doc)
	if err != nil {
		return false, fmt.Errorf("hub: configuration %d: %w", v, err)
	}
	_, ok := cfg.Pools[name]
	return ok, nil
}

// startRollout records an order on the leader.
func (h *Hub) startRollout(ctx context.Context, start *wire.StartRollout) (*wire.Frame, error) {
	ok, err := h.hasPool(start.GetPool())
	if err == nil && !ok {
		// A new leader may not have applied all that its predecessor acknowledged.
		if _, err = h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err == nil {
			ok, err = h.hasPool(start.GetPool())
		}
	}
	if err != nil {
		return nil, err
	}
	if !ok {
		return resultFrame(&wire.Result{Code: RolloutUnknown, Text: "no pool is named " + start.GetPool()})
	}
	start = proto.CloneOf(start)
	start.Base = h.majorityVersion(start.GetPool(), start.GetTo())
	res, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: start}})
	h.Log.Info("Rollout ordered.", "pool", start.GetPool(), "to", start.GetTo(), "length", micros(start.GetLengthUs()).String(),
		"code", res.GetCode(), "number", res.GetVersion(), "text", res.GetText(), "err", errText(err))
	if err != nil {
		return nil, err
	}
	return resultFrame(res)
}

// majorityVersion returns the version of most serving upstreams of a pool that are not of version
// to. It is empty where versions are held, as the pool's version is known there.
func (h *Hub) majorityVersion(pool, to string) string {
	if h.HoldVersions {
		return ""
	}
	list, _, _ := h.Replica.Roster(0)
	counts := map[string]int{}
	best := ""
	for _, u := range list {
		v := u.GetVersion()
		if u.GetPool() != pool || v == "" || v == to || u.GetState() != wire.Upstream_STATE_SERVING {
			continue
		}
		counts[v]++
		if counts[v] > counts[best] {
			best = v
		}
	}
	return best
}

// readRollouts reads rollouts on the leader. The barrier proves that a quorum still follows it; see
// readPublication.
func (h *Hub) readRollouts(ctx context.Context, pool string) (*wire.Frame, error) {
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err != nil {
		return nil, err
	}
	list, _, _ := h.Replica.Rollouts()
	out := &wire.Rollouts{}
	for _, r := range list {
		if pool == "" || r.GetPool() == pool {
			out.Rollouts = append(out.Rollouts, r)
		}
	}
	return &wire.Frame{Body: &wire.Frame_Rollouts{Rollouts: out}}, nil
}

// Results of StartRollout.
const (
	RolloutUnknown  = "unknown"       // No pool has that name.
	RolloutConflict = deploy.Conflict // Another rollout of the pool is in progress.
	RolloutInvalid  = deploy.Invalid  // The order is malformed.
)

// StartRollout orders that a pool's traffic is moved to upstreams of another version within a time.
// It returns once the order is on the disks of a quorum, or with a *wire.Fault whose code is one of
// the results above. The same order may be sent again.
func (h *Hub) StartRollout(ctx context.Context, pool, to string, within time.Duration) error {
	cmd := &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: pool, To: to, LengthUs: within.Microseconds()}}}
	res, err := h.LeaderClient.Propose(ctx, cmd)
	if err != nil {
		return fmt.Errorf("hub: start rollout: %w", err)
	}
	if res.GetCode() != deploy.OK {
		return &wire.Fault{Code: res.GetCode(), Text: res.GetText()}
	}
	return nil
}

// Rollout returns the newest rollout of a pool, or nil. It is never older than what an earlier call
// returned, on any replica.
func (h *Hub) Rollout(ctx context.Context, pool string) (*wire.Rollout, error) {
	f, err := h.LeaderClient.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_RolloutQuery{RolloutQuery: &wire.RolloutQuery{Pool: pool}}}
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	for _, r := range f.GetRollouts().GetRollouts() {
		if r.GetPool() == pool {
			return r, nil
		}
	}
	return nil, nil //nolint:nilnil // The pool has had no rollout.
}

func resultFrame(r *wire.Result) (*wire.Frame, error) {
	return &wire.Frame{Body: &wire.Frame_Result{Result: r}}, nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

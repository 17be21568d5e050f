package watch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"azurelane/core/wire"
)

const (
	statusQueryInterval = 20 * time.Millisecond  // Between two status queries.
	findTimeout         = 400 * time.Millisecond // For the answers of all replicas.
	// cutOffGrace is how long replicas of other data centres may still answer after a replica of
	// this data centre has reported that it is cut off. It covers several round trips.
	cutOffGrace = 60 * time.Millisecond
	// localPollWait is the wait of a long poll at a scheduler that serves only this data centre.
	// After each poll the entry checks whether it reaches a leader elsewhere again.
	localPollWait = 300 * time.Millisecond
	// maxQueries is the number of replicas that one search asks. After a stop of everything all
	// entries search at once. If each of them asked all replicas, the links of a thousand entries to
	// each of them would hold up the election that they wait for.
	maxQueries = 8
)

// target is the replica whose scheduler the entry follows. Its address is invalid if there is
// none.
type target struct {
	addr  netip.AddrPort
	local bool // The replica is cut off and schedules only for this data centre.
}

// statusReply is the outcome of a status query. Its target is the leader that the replica named, or
// the replica itself if it is cut off with this data centre, and is otherwise invalid.
type statusReply struct {
	target
	otherDataCentre bool // The replica is in another data centre and knows no leader.
}

// hintedLeader returns the leader's address from the fault of a replica that does not lead, or
// an invalid address if err names none.
func hintedLeader(err error) netip.AddrPort {
	var f *wire.Fault
	if !errors.As(err, &f) {
		return netip.AddrPort{}
	}
	a, perr := netip.ParseAddrPort(f.GetLeader())
	if perr != nil {
		return netip.AddrPort{}
	}
	return a
}

// findScheduler asks the replicas who leads. It starts one query every statusQueryInterval
// without waiting for the answers before: after a power failure, replicas that are still down
// would otherwise delay the entry while a leader is up already.
//
// If only replicas of this data centre answer and one of them reports that it is cut off,
// findScheduler returns that one. If a replica elsewhere answers, this data centre is not cut off
// and a leader will be elected, so findScheduler then returns either the leader or no target.
func (w *Watcher) findScheduler(ctx context.Context) target {
	list := w.replicasToQuery()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan statusReply, len(list))
	next, grace := time.NewTimer(0), time.NewTimer(findTimeout)
	defer next.Stop()
	defer grace.Stop()
	var local target
	otherAnswered := false
	for asked, ended := 0, 0; ended < len(list); {
		select {
		case reply := <-replies:
			ended++
			otherAnswered = otherAnswered || reply.otherDataCentre
			switch {
			case reply.addr.IsValid() && !reply.local:
				return reply.target
			case reply.local && !local.local:
				local = reply.target
				grace.Reset(cutOffGrace)
			case reply.local && reply.addr.Compare(local.addr) < 0:
				local = reply.target // If several are cut off, all entries choose the lowest address.
			}
		case <-next.C:
			if asked == len(list) {
				continue
			}
			asked++
			w.nextReplica++
			to := list[w.nextReplica%len(list)]
			go func() { replies <- w.queryLeader(ctx, to) }()
			next.Reset(statusQueryInterval)
		case <-grace.C:
			if asked < len(list) {
				grace.Reset(cutOffGrace)
				continue
			}
			return local.discardIf(otherAnswered)
		case <-ctx.Done():
			return local.discardIf(otherAnswered)
		}
	}
	return local.discardIf(otherAnswered)
}

// discardIf returns t, or no target if a replica of another data centre has answered.
func (t target) discardIf(otherAnswered bool) target {
	if otherAnswered {
		return target{}
	}
	return t
}

// replicasToQuery returns the replicas that control has listed, and then the remaining seeds, but
// maxQueries at most: other ones in each search and for each entry, up to half of them of this data
// centre, as one of those may schedule if it is cut off.
func (w *Watcher) replicasToQuery() []netip.AddrPort {
	w.mu.Lock()
	list, localReplicas := slices.Clone(w.replicas), w.localReplicas
	w.mu.Unlock()
	for _, s := range w.Seeds() {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	if len(list) <= maxQueries {
		return list
	}
	w.searches++
	start := (xxhash.Sum64String(w.Node) + w.searches*maxQueries/2) % uint64(len(list))
	list = slices.Concat(list[start:], list[:start])
	var local, other []netip.AddrPort
	for _, addr := range list {
		if localReplicas[addr] {
			local = append(local, addr)
		} else {
			other = append(other, addr)
		}
	}
	local = local[:min(len(local), maxQueries/2)]
	return slices.Concat(local, other[:min(len(other), maxQueries-len(local))])
}

// queryLeader asks one replica for the leader.
func (w *Watcher) queryLeader(ctx context.Context, to netip.AddrPort) statusReply {
	f, err := w.Mesh.Call(ctx, to, &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}})
	if err != nil {
		w.Log.V(1).Info("Status query to a control replica failed.", "address", to.String(), "err", err.Error())
		return statusReply{}
	}
	s := f.GetStatus()
	if s.GetTerm() >= w.View().Term { // Otherwise it is behind and knows neither the replicas nor the leader.
		w.learnReplicas(s.GetReplicas())
		if a, err := netip.ParseAddrPort(s.GetLeader()); err == nil {
			return statusReply{target: target{addr: a}}
		}
	}
	otherDataCentre := s.GetDataCentre() != w.DataCentre
	if s.GetCutOff() && !otherDataCentre {
		return statusReply{target: target{to, true}}
	}
	return statusReply{otherDataCentre: otherDataCentre}
}

// learnReplicas replaces the known replicas by the given ones.
func (w *Watcher) learnReplicas(list []*wire.Replica) {
	var addrs []string
	local := map[netip.AddrPort]bool{}
	for _, r := range list {
		addrs = append(addrs, r.GetAddress())
		if a, err := netip.ParseAddrPort(r.GetAddress()); err == nil && r.GetDataCentre() == w.DataCentre {
			local[a] = true
		}
	}
	w.learnAddrs(addrs)
	if len(local) > 0 {
		w.mu.Lock()
		w.localReplicas = local
		w.mu.Unlock()
	}
}

// learnAddrs replaces the known replicas by the addresses that parse, unless none does.
func (w *Watcher) learnAddrs(list []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learnAddrsLocked(list)
}

// learnAddrsLocked is learnAddrs with w.mu held.
func (w *Watcher) learnAddrsLocked(list []string) {
	var all []netip.AddrPort
	for _, s := range list {
		if a, err := netip.ParseAddrPort(s); err == nil {
			all = append(all, a)
		}
	}
	if len(all) > 0 {
		w.replicas = all
	}
}

// Package permit decides when an order, such as to load a model, may be sent to an upstream. Each
// order gets a fencing token. Orders to one upstream run one at a time, and the number of
// concurrent orders that read from the weight store is limited.
package permit

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// Result codes of Start and End.
const (
	OK      = "ok"      // Send the order with the fence in the result's version.
	Busy    = "busy"    // Another order, named in the result, may still run at the upstream.
	Limited = "limited" // Too many orders may be reading from the weight store.
	Over    = "over"    // The order was started before and has ended.
	Gone    = "gone"    // End names an order that is not the latest one of its upstream.
)

// ExpiryMargin is added to the time limit of an order before an upstream that does not check fences
// gets another order. It covers the delay of the order in the network and the clock difference
// between two leaders.
const ExpiryMargin = 10 * time.Second

// Orders holds the latest order of each upstream. It reads no clock: the leader adds its time to
// each command. The zero value is empty and ready to use.
type Orders struct {
	latest map[string]*wire.OrderState
}

// Start decides whether an order may be sent now. An operator who lost the reply may start the same
// id again and gets the original fence, or Over with the outcome if the order has ended. This holds
// until a newer order to the upstream is started.
func (o *Orders) Start(id string, s *wire.OrderStart) *wire.Result {
	old := o.latest[s.GetUpstream()]
	if old.GetId() == id {
		if old.GetOutcome() != "" {
			return &wire.Result{Code: Over, Version: old.GetFence(), Outcome: old.GetOutcome()}
		}
		return &wire.Result{Code: OK, Version: old.GetFence()}
	}
	if mustWait(old, s) {
		return &wire.Result{Code: Busy, Version: old.GetFence(), Winner: old.GetId(), Text: "another order may still run"}
	}
	if s.GetWeights() && o.countWeightReaders(s) >= max(s.GetWeightLimit(), 1) {
		return &wire.Result{Code: Limited, Text: "the weight store serves as many orders as it may"}
	}
	if o.latest == nil {
		o.latest = map[string]*wire.OrderState{}
	}
	st := &wire.OrderState{Id: id, Start: s, Fence: old.GetFence() + 1}
	o.latest[s.GetUpstream()] = st
	return &wire.Result{Code: OK, Version: st.GetFence()}
}

// End records the outcome of the latest order of an upstream. It changes nothing, and returns Gone,
// if the fence is not that of the latest order. Only the first outcome is recorded.
func (o *Orders) End(e *wire.OrderEnd) *wire.Result {
	st := o.latest[e.GetUpstream()]
	if st == nil || st.GetFence() != e.GetFence() {
		return &wire.Result{Code: Gone}
	}
	if st.GetOutcome() == "" {
		// An image that is being encoded may still refer to the old message.
		st = proto.CloneOf(st)
		st.Outcome = e.GetOutcome()
		o.latest[e.GetUpstream()] = st
	}
	return &wire.Result{Code: OK, Version: st.GetFence(), Outcome: st.GetOutcome()}
}

// Save returns the latest order of each upstream, sorted by upstream.
func (o *Orders) Save() []*wire.OrderState {
	var list []*wire.OrderState
	for _, u := range slices.Sorted(maps.Keys(o.latest)) {
		list = append(list, o.latest[u])
	}
	return list
}

// Load replaces all orders by a saved list.
func (o *Orders) Load(list []*wire.OrderState) {
	o.latest = map[string]*wire.OrderState{}
	for _, st := range list {
		o.latest[st.GetStart().GetUpstream()] = st
	}
}

// Unfinished returns the orders without an outcome, which may still run, sorted by upstream.
func (o *Orders) Unfinished() []*wire.OrderState {
	return slices.DeleteFunc(o.Save(), func(st *wire.OrderState) bool { return st.GetOutcome() != "" })
}

// mustWait reports whether a new order must wait for the old one.
//
// Two orders compete if two operators send orders at the same time, or if the process of an
// operator crashes after it has sent an order. An upstream that checks the fence rejects the older
// of two orders by itself, so the newer one may be sent at once. An upstream that ignores the fence
// would run both, and its final state would depend on their order of arrival. There, the new order
// waits until the outcome of the old one is recorded or its expiry time has passed. The limit of
// the old order and ExpiryMargin bound the wait.
func mustWait(old *wire.OrderState, s *wire.OrderStart) bool {
	if old == nil || old.GetOutcome() != "" {
		return false
	}
	if s.GetChecksFence() && old.GetStart().GetChecksFence() {
		return false
	}
	return s.GetNowUs() < expiryUs(old)
}

// countWeightReaders returns the number of orders to other upstreams that may be reading from the
// weight store.
func (o *Orders) countWeightReaders(s *wire.OrderStart) int64 {
	var n int64
	for u, st := range o.latest {
		if u != s.GetUpstream() && st.GetOutcome() == "" && st.GetStart().GetWeights() && s.GetNowUs() < expiryUs(st) {
			n++
		}
	}
	return n
}

// expiryUs returns the leader time, in microseconds, after which an order can no longer be running.
func expiryUs(st *wire.OrderState) int64 {
	return st.GetStart().GetNowUs() + st.GetStart().GetLimitUs() + ExpiryMargin.Microseconds()
}

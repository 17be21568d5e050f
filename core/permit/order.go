// Package order decides when an order may go to an upstream: one at a time for
// each, numbered by a fence, and few at once that read from the weight store.
package permit

import (
	"maps"
	"slices"
	"time"

	"azurelane/core/wire"
)

// Result codes of Start and End.
const (
	OK      = "ok"      // Send it with the fence in the result's version.
	Busy    = "busy"    // Another order may still run at the upstream; the result names it.
	Limited = "limited" // The weight store serves as many orders as it may.
	Over    = "over"    // The order was started before and is over.
	Gone    = "gone"    // End names an order that is not the upstream's newest.
)

// ExpiryMargin is added to an order's limit before an upstream that ignores the
// fence is given another. It covers a request under way in the network and the
// clocks of two leaders that differ.
const ExpiryMargin = 10 * time.Second

// Orders holds the newest order of each upstream. The zero value is empty and
// ready. It reads no clock: the leader puts its time into each command.
type Orders struct {
	newest map[string]*wire.OrderState
}

// Start decides on an order. The same id again gets the fence of the first
// time as long as no newer order took its place, so an operator who lost the
// answer may ask again.
func (o *Orders) Start(id string, s *wire.OrderStart) *wire.Result {
	old := o.newest[s.GetUpstream()]
	if old.GetId() == id {
		if old.GetOutcome() != "" {
			return &wire.Result{Code: Over, Version: old.GetFence(), Outcome: old.GetOutcome()}
		}
		return &wire.Result{Code: OK, Version: old.GetFence()}
	}
	if blocks(old, s) {
		return &wire.Result{Code: Busy, Version: old.GetFence(), Winner: old.GetId(), Text: "another order may still run"}
	}
	if s.GetWeights() && o.reading(s) >= max(s.GetWeightLimit(), 1) {
		return &wire.Result{Code: Limited, Text: "the weight store serves as many orders as it may"}
	}
	if o.newest == nil {
		o.newest = map[string]*wire.OrderState{}
	}
	st := &wire.OrderState{Id: id, Start: s, Fence: old.GetFence() + 1}
	o.newest[s.GetUpstream()] = st
	return &wire.Result{Code: OK, Version: st.GetFence()}
}

// End records that the newest order of an upstream is over. An end that comes
// after a newer order started changes nothing.
func (o *Orders) End(e *wire.OrderEnd) *wire.Result {
	st := o.newest[e.GetUpstream()]
	if st == nil || st.GetFence() != e.GetFence() {
		return &wire.Result{Code: Gone}
	}
	if st.GetOutcome() == "" {
		st.Outcome = e.GetOutcome()
	}
	return &wire.Result{Code: OK, Version: st.GetFence(), Outcome: st.GetOutcome()}
}

// Save lists the newest orders, sorted by upstream.
func (o *Orders) Save() []*wire.OrderState {
	var list []*wire.OrderState
	for _, u := range slices.Sorted(maps.Keys(o.newest)) {
		list = append(list, o.newest[u])
	}
	return list
}

// Load replaces the state by a saved list.
func (o *Orders) Load(list []*wire.OrderState) {
	o.newest = map[string]*wire.OrderState{}
	for _, st := range list {
		o.newest[st.GetStart().GetUpstream()] = st
	}
}

// Unfinished lists the orders that may still run, sorted by upstream.
func (o *Orders) Unfinished() []*wire.OrderState {
	return slices.DeleteFunc(o.Save(), func(st *wire.OrderState) bool { return st.GetOutcome() != "" })
}

// blocks reports whether the old order keeps the new one from starting.
//
// Two operators race, or one's process dies after it sent an order. An upstream
// that checks the fence refuses the older of two orders by itself, so the newer
// may go at once. One that ignores it would run both and end in whichever came
// last; there the new order waits until the old one is known to be over or its
// time is surely up. The order's limit and Margin bound that wait.
func blocks(old *wire.OrderState, s *wire.OrderStart) bool {
	if old == nil || old.GetOutcome() != "" {
		return false
	}
	if s.GetChecksFence() && old.GetStart().GetChecksFence() {
		return false
	}
	return s.GetNowUs() < ends(old)
}

// reading counts the orders that may be reading from the weight store.
func (o *Orders) reading(s *wire.OrderStart) int64 {
	var n int64
	for u, st := range o.newest {
		if u != s.GetUpstream() && st.GetOutcome() == "" && st.GetStart().GetWeights() && s.GetNowUs() < ends(st) {
			n++
		}
	}
	return n
}

// ends is the time, in the leader's microseconds, after which an order surely
// no longer runs.
func ends(st *wire.OrderState) int64 {
	return st.GetStart().GetNowUs() + st.GetStart().GetLimitUs() + ExpiryMargin.Microseconds()
}

package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func beat(node, dc string, version uint64, age time.Duration) *wire.NodeStatus {
	return &wire.NodeStatus{Beat: &wire.Beat{Node: node, DataCentre: dc, Version: version}, AgeUs: age.Microseconds()}
}

// Each row is what an operator waits for after version 7 was accepted, and
// whether the command may say that it is in force everywhere. An entry on two
// lists counts by its newest beat; silence, of an entry or of a replica that
// may know more entries, is never taken for consent.
func TestWaitIsHonest(t *testing.T) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	answer := func(nodes ...*wire.NodeStatus) heard { return heard{a, &wire.Status{Nodes: nodes}} }
	for _, tt := range []struct {
		name    string
		all     []heard
		certain bool
		missing string
	}{
		{"all have it", []heard{answer(beat("e1", "north", 7, 0)), answer(beat("e2", "south", 8, time.Second))}, true, ""},
		{"one is behind", []heard{answer(beat("e1", "north", 7, 0), beat("e2", "south", 6, 0))}, false, "behind in south: e2"},
		{"moved to another replica", []heard{answer(beat("e1", "north", 6, time.Minute)), answer(beat("e1", "north", 7, 0))}, true, ""},
		{"not heard", []heard{answer(beat("e1", "north", 7, 0), beat("e2", "south", 7, time.Minute))}, false, "not heard in south: e2"},
		{"a replica is silent", []heard{answer(beat("e1", "north", 7, 0)), {a, nil}}, false, "replica 127.0.0.1:1 did not answer"},
		{"nobody is known", []heard{answer()}, false, "no entry is known"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := merge(tt.all)
			must.Eq(t, tt.certain, f.certain(7))
			must.Eq(t, tt.missing, f.missing(7))
		})
	}
}

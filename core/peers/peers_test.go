package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

var (
	start = time.Unix(1000, 0)
	list  = []*wire.Upstream{
		{Id: "near", DataCentre: "z1", Slots: 4}, {Id: "far", DataCentre: "z2", Slots: 4},
	}
)

func TestPick(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(p *Peers)
		choice Choice
		want   string
	}{
		{"own data centre first", func(*Peers) {}, Choice{}, "near"},
		{"not one that it must avoid", func(*Peers) {}, Choice{Avoid: []string{"near"}}, "far"},
		{"not a busy one", func(p *Peers) {
			for range 4 {
				p.Begin(start, "near")
			}
		}, Choice{}, "far"},
		{"not one that broke off a moment ago", func(p *Peers) { p.End(start, "near", 0, false, false) }, Choice{}, "far"},
		{"not one that control does not hear", func(*Peers) {}, Choice{Silent: map[string]bool{"near": true}}, "far"},
		{"one that control does not hear but served just now", func(p *Peers) {
			p.End(start, "near", 10*time.Millisecond, true, true)
		}, Choice{Silent: map[string]bool{"near": true}}, "near"},
		{"not one that fails half of its requests", func(p *Peers) {
			for i := range 20 {
				p.End(start, "near", 10*time.Millisecond, true, i%2 == 0)
				p.End(start, "far", 10*time.Millisecond, true, true)
			}
		}, Choice{}, "far"},
		{"none with room", func(p *Peers) { p.Begin(start, "near"); p.Begin(start, "far") }, Choice{MaxRunning: 1}, ""},
		{"beyond its share where it says that there is room", func(p *Peers) {
			p.Begin(start, "near")
			p.Begin(start, "far")
			p.RecordLoad(start, "far", Load{Running: 1, Slots: 4})
		}, Choice{MaxRunning: 1}, "far"},
		{"not where it says that some wait", func(p *Peers) {
			p.Begin(start, "near")
			p.Begin(start, "far")
			p.RecordLoad(start, "far", Load{Running: 1, Waiting: 1, Slots: 4})
		}, Choice{MaxRunning: 1}, ""},
		{"not where it says that all places are taken", func(p *Peers) {
			p.RecordLoad(start, "near", Load{Running: 4, Slots: 4})
		}, Choice{MaxRunning: 2}, "far"},
		{"a bad one before none", func(p *Peers) { p.End(start, "near", 0, false, false) }, Choice{Avoid: []string{"far"}}, "near"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Peers
			tc.before(&p)
			tc.choice.DataCentre = "z1"
			must.Eq(t, tc.want, p.Pick(start.Add(time.Millisecond), list, tc.choice).GetId())
		})
	}
}

// An upstream that sent no response is tried again after a time that grows with each failure.
func TestBackAfterFailures(t *testing.T) {
	var p Peers
	p.End(start, "near", 0, false, false)
	must.Eq(t, "near", p.Pick(start.Add(minExclusion), list, Choice{DataCentre: "z1"}).GetId())
	p.End(start, "near", 0, false, false)
	must.Eq(t, "far", p.Pick(start.Add(minExclusion), list, Choice{DataCentre: "z1"}).GetId())
	p.End(start, "near", time.Millisecond, true, true)
	must.Eq(t, "near", p.Pick(start, list, Choice{DataCentre: "z1"}).GetId())
}

// Guards against entries that all choose the same engine after the loss of a scheduler, when none
// has observations of any engine.
func TestEntriesSpread(t *testing.T) {
	var engines []*wire.Upstream
	for i := range 20 {
		engines = append(engines, &wire.Upstream{Id: fmt.Sprint("engine-", i), DataCentre: "z1", Slots: 4})
	}
	got := map[string]int{}
	for i := range 80 {
		var p Peers
		got[p.Pick(start, engines, Choice{Self: fmt.Sprint("entry-", i), DataCentre: "z1"}).GetId()]++
	}
	for id, n := range got {
		must.LessEq(t, 10, n, must.Sprint(id))
	}
}

package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ran is one line of a stand-in's journal.
type ran struct {
	Request  string `json:"request"`
	Key      string `json:"key"`
	Path     string `json:"path"`
	Finished bool   `json:"finished"`
}

// verdict compares what callers were told with what the upstreams did, and
// lists every contradiction.
func verdict(told []attempt, runs []ran, faults [][]span) []string {
	var bad []string
	byID, byKey := map[string]int{}, map[string]int{}
	finished := map[string]bool{}
	for _, r := range runs {
		byID[r.Request]++
		finished[r.Request] = finished[r.Request] || r.Finished
		if r.Key != "" {
			byKey[r.Key]++
			finished[r.Key] = finished[r.Key] || r.Finished
		}
	}
	for id, n := range byID {
		if n > 1 {
			bad = append(bad, fmt.Sprintf("request %s was dispatched %d times", id, n))
		}
	}
	for key, n := range byKey {
		if n > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for i := range told {
		if why := judge(&told[i], byID, finished, faults); why != "" {
			bad = append(bad, fmt.Sprintf("%s: %+v", why, told[i]))
		}
	}
	return bad
}

// judge returns what is wrong with one answer, or nothing.
func judge(a *attempt, byID map[string]int, finished map[string]bool, faults [][]span) string {
	switch a.Told {
	case "whole":
		return judgeWhole(a, finished)
	case "not-run":
		if byID[a.ID] > 0 {
			return "called not-run, but it ran"
		}
	case "failed":
		if byID[a.ID] == 0 && a.Key == "" {
			return "called failed, but nothing ran"
		}
	case "unknown":
	case toldNothing:
		if !broke(a, faults[a.Entry]) && !strings.Contains(a.Body, "event: error") {
			return "no answer from an entry that was up"
		}
	default:
		return "no outcome named"
	}
	return ""
}

func judgeWhole(a *attempt, finished map[string]bool) string {
	switch {
	case a.Status != 200:
		return "whole with an error status"
	case !strings.Contains(a.Body, a.Token+" ") && !strings.Contains(a.Body, `"echo":"`+a.Token+`"`):
		return "the answer belongs to another request"
	case a.Key == "" && !strings.Contains(a.Body, a.ID):
		return "the answer carries another request's id"
	case a.Kind == chatStream && !strings.HasSuffix(strings.TrimSpace(a.Body), "data: [DONE]"):
		return "a fragment called whole"
	case !finished[a.ID] && !finished[a.Key]:
		return "called whole, but no run finished"
	}
	return ""
}

// broke reports whether the entry was down at some time of the attempt.
func broke(a *attempt, faults []span) bool {
	for _, f := range faults {
		if a.Began.Before(f.to) && f.from.Before(a.Ended) {
			return true
		}
	}
	return false
}

// The verdict must find each kind of contradiction, or the history check
// would prove nothing.
func TestVerdict(t *testing.T) {
	now := time.Now()
	whole := attempt{Kind: chatWhole, Token: "a-1", Told: "whole", Status: 200, ID: "e-1", Body: `{"id":"e-1","content":"a-1 t1 "}`, Began: now, Ended: now.Add(time.Second)}
	with := func(change func(*attempt)) attempt {
		a := whole
		change(&a)
		return a
	}
	one := []ran{{Request: "e-1", Finished: true}}
	down := [][]span{{{now, now.Add(time.Minute)}}}
	for _, tc := range []struct {
		name   string
		told   attempt
		runs   []ran
		faults [][]span
		bad    int
	}{
		{name: "whole", told: whole, runs: one},
		{name: "whole without a run", told: whole, bad: 1},
		{name: "whole of a run that broke off", told: whole, runs: []ran{{Request: "e-1"}}, bad: 1},
		{name: "dispatched twice", told: whole, runs: append(one, one...), bad: 1},
		{name: "key ran twice", told: whole, runs: []ran{{Request: "e-1", Key: "k", Finished: true}, {Request: "e-2", Key: "k"}}, bad: 1},
		{name: "another's answer", told: with(func(a *attempt) { a.Token = "a-2" }), runs: one, bad: 1},
		{name: "another's id", told: with(func(a *attempt) { a.ID = "e-2" }), runs: []ran{{Request: "e-2", Finished: true}}, bad: 1},
		{name: "fragment", told: with(func(a *attempt) { a.Kind = chatStream }), runs: one, bad: 1},
		{name: "not-run", told: with(func(a *attempt) { a.Told = "not-run" })},
		{name: "not-run that ran", told: with(func(a *attempt) { a.Told = "not-run" }), runs: one, bad: 1},
		{name: "unknown", told: with(func(a *attempt) { a.Told = "unknown" }), runs: one},
		{name: "no outcome", told: with(func(a *attempt) { a.Told = "" }), runs: one, bad: 1},
		{name: "nothing from a live entry", told: with(func(a *attempt) { a.Told = toldNothing }), runs: one, bad: 1},
		{name: "nothing from a dead entry", told: with(func(a *attempt) { a.Told = toldNothing }), runs: one, faults: down},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.faults == nil {
				tc.faults = [][]span{nil}
			}
			must.Len(t, tc.bad, verdict([]attempt{tc.told}, tc.runs, tc.faults))
		})
	}
}

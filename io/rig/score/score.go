// Package score turns the results of one run into figures.
package score

import (
	"slices"
	"time"

	"azurelane/io/result"
	"azurelane/io/rig/record"
	"azurelane/io/rig/tally"
)

// Levels is the number of tiers told apart.
const Levels = 3

// Score holds the figures of one run.
type Score struct {
	Asked, Good [Levels]int   // Requests by tier, and those answered whole and in time.
	First       time.Duration // 95th percentile of the time to first token of urgent requests that got one.
	FirstNormal time.Duration // The same for normal ones.
	Wasted      float64       // Part of the prompt tokens worked off for requests that got no answer in time.
	Busy        float64       // Part of the engines' places that was taken, while the load ran.
	Refused     map[string]int
	Said        time.Duration // 95th percentile of the time to a refusal.
	SaidHalf    time.Duration // Its median.
	Shed        int           // Urgent requests shed at a limit while lower work of the same account was kept waiting.
	Late        int           // Urgent requests refused for their deadline meanwhile.
	Others      float64       // Part of the requests of all accounts but the first one that was answered whole and in time.
	Lost        int           // Requests dispatched without an answer: unknown or broken.
}

// Of works out the figures. Runs are the engines' journals, before and after
// their counts around the load of the given length on so many places.
func Of(results []result.Result, runs []record.Record, busy float64, before, after []tally.Tally, first string) Score {
	s := Score{Refused: map[string]int{}, Busy: busy}
	var others, otherGood int
	var said, fast, normal []time.Duration
	for i := range results {
		r := &results[i]
		s.Asked[r.Level]++
		if r.Good() {
			s.Good[r.Level]++
		}
		if r.Account != first {
			others++
			if r.Good() {
				otherGood++
			}
		}
		switch {
		case r.Outcome == "not-run":
			s.Refused[r.Code]++
			said = append(said, r.Total)
		case r.Outcome != "whole":
			s.Lost++
		case r.Level == 0:
			fast = append(fast, r.First)
		case r.Level == 1:
			normal = append(normal, r.First)
		}
	}
	s.First, s.FirstNormal = quantile(fast, 95), quantile(normal, 95)
	s.Said, s.SaidHalf = quantile(said, 95), quantile(said, 50)
	if others > 0 {
		s.Others = float64(otherGood) / float64(others)
	}
	s.Wasted = wasted(before, after)
	s.Shed, s.Late = shed(results, runs)
	return s
}

// wasted is the part of the prompt work that served no whole answer: what the
// engines counted for requests that they did not finish. Answers that were
// finished too late are cut off by the entry at the deadline and count here.
func wasted(before, after []tally.Tally) float64 {
	var prompt, waste int64
	for i := range after {
		prompt += after[i].Prompt - before[i].Prompt
		waste += after[i].Wasted - before[i].Wasted
	}
	if prompt == 0 {
		return 0
	}
	return float64(waste) / float64(prompt)
}

// near is how close two moments may be for their order to be uncertain here.
const near = 5 * time.Millisecond

// shed counts urgent requests that were refused while a lower one of the same
// account, sent before, was dispatched only after the refusal: it was kept
// waiting. The engines' journals tell when that was.
func shed(results []result.Result, runs []record.Record) (atLimit, late int) {
	arrived := map[string]time.Time{}
	for _, r := range runs {
		arrived[r.Request] = r.Arrived
	}
	kept := map[string][]*result.Result{} // Lower work that ran, by account.
	for i := range results {
		r := &results[i]
		if _, ran := arrived[r.Request]; ran && r.Level > 0 {
			kept[r.Account] = append(kept[r.Account], r)
		}
	}
	for i := range results {
		r := &results[i]
		if r.Level > 0 || r.Outcome != "not-run" {
			continue
		}
		said := r.Sent.Add(r.Total)
		if !slices.ContainsFunc(kept[r.Account], func(k *result.Result) bool {
			return k.Sent.Before(said.Add(-near)) && arrived[k.Request].After(said.Add(near))
		}) {
			continue
		}
		if r.Code == "deadline" {
			late++
		} else {
			atLimit++
		}
	}
	return atLimit, late
}

func quantile(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)*percent/100, len(list)-1)]
}

package rest_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/rest"
)

var start = time.Date(2026, 10, 1, 3, 5, 12, 0, time.UTC)

const ms = time.Millisecond

const unbounded = -1

func noBirth(string) int64 { return 0 }

// Guards against requests that reach an upstream in its rest, and against rests without an end.
func TestRestsEnd(t *testing.T) {
	for _, test := range []struct {
		name     string
		asked    []time.Duration // One after the other, 100 ms apart.
		min, max time.Duration   // Until the end, from the first.
	}{
		{"one", []time.Duration{3 * time.Second}, 3 * time.Second, 3*time.Second + 375*ms},
		{"what is left", []time.Duration{3 * time.Second, 2900 * ms, 2800 * ms}, 3 * time.Second, 3*time.Second + 375*ms},
		{"longer", []time.Duration{time.Second, 3 * time.Second}, 3100 * ms, 3100*ms + 375*ms},
		{"not shortened", []time.Duration{3 * time.Second, 10 * ms}, 3 * time.Second, 3*time.Second + 375*ms},
		{"huge", []time.Duration{1000 * time.Hour}, time.Hour, time.Hour + 500*ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rest.Rests{Self: "e"}
			for n, d := range test.asked {
				must.Eq(t, n == 0, r.Ask(start.Add(time.Duration(n)*100*ms), "p", "a", 0, d))
			}
			must.False(t, r.Take(start.Add(test.min-ms), "a", 0))
			must.Positive(t, r.Wait(start.Add(test.min-ms), "a", 0))
			must.True(t, r.Take(start.Add(test.max), "a", 0))
			must.Zero(t, r.Wait(start.Add(test.max), "other", 0))
		})
	}
}

// Guards against all senders and all of their requests at an upstream the moment that its rest ends.
func TestWayBack(t *testing.T) {
	ends := map[time.Duration]int{}
	for n := range 64 {
		r := rest.Rests{Self: fmt.Sprint("entry-", n)}
		r.Ask(start, "p", "a", 0, 3*time.Second)
		ends[r.Wait(start, "a", 0).Truncate(50*ms)]++
	}
	for end, n := range ends {
		must.LessEq(t, 24, n, must.Sprint(end))
	}
	for _, test := range []struct {
		name   string
		answer time.Duration // Until a request is answered; zero for never.
		refuse bool
		taken  []int // Requests in each 100 ms after the end; unbounded for some.
	}{
		{"quick", 10 * ms, false, []int{unbounded, 100}},
		{"slow", 0, false, []int{1, 2, 0, 4, unbounded, 100}},
		{"refuses without a time", 10 * ms, true, []int{1, 1, 0, 1, 1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rest.Rests{}
			r.Ask(start, "p", "a", 0, time.Second)
			now := start.Add(r.Wait(start, "a", 0))
			var sent []time.Time
			for n, want := range test.taken {
				got := 0
				for range 100 {
					for len(sent) > 0 && test.answer > 0 && now.Sub(sent[0]) >= test.answer {
						if test.refuse {
							r.Refuse(now, "p", "a", 0, sent[0])
						} else {
							r.Accept("a", sent[0])
						}
						sent = sent[1:]
					}
					if r.Take(now, "a", 0) {
						got++
						sent = append(sent, now)
					}
					now = now.Add(ms)
				}
				if want == unbounded {
					must.Positive(t, got)
					continue
				}
				must.Eq(t, want, got, must.Sprint("tenth ", n))
			}
		})
	}
}

// Guards against an upstream that is bound by what the process before it asked for.
func TestRestEndsWithItsProcess(t *testing.T) {
	for _, test := range []struct {
		name        string
		asked, born int64
		rests       bool
	}{
		{"the same", 7, 7, true},
		{"a later one", 7, 8, false},
		{"unknown when it asked", 0, 8, true},
		{"unknown now", 7, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rest.Rests{}
			r.Ask(start, "p", "a", test.asked, time.Second)
			must.Eq(t, !test.rests, r.Take(start, "a", test.born))
			never, _ := r.Avoid(start, "p", func(string) int64 { return test.born })
			must.Eq(t, test.rests, slices.Contains(never, "a"))
			never, _ = r.Avoid(start, "other", noBirth)
			must.SliceEmpty(t, never)
		})
	}
}

// Guards against an upstream that refuses at once, looks empty and draws all work, and against one that
// takes requests again and gets none.
func TestRefusalsWithoutATime(t *testing.T) {
	r := rest.Rests{}
	now, refused, longest := start, 0, time.Duration(0)
	last := now
	for now.Before(start.Add(5 * time.Second)) {
		_, rather := r.Avoid(now, "p", noBirth)
		if !slices.Contains(rather, "a") {
			must.True(t, r.Take(now, "a", 0)) // It is used if there is no other.
			r.Refuse(now.Add(ms), "p", "a", 0, now)
			r.Refuse(now.Add(ms), "p", "a", 0, now) // One that was on its way at the same time.
			refused++
			longest, last = max(longest, now.Sub(last)), now
		}
		now = now.Add(ms)
	}
	must.Between(t, 5, refused, 10)
	must.LessEq(t, 2*time.Second, longest)

	r.Accept("a", start) // Of a request that was sent before the last refusal.
	_, rather := r.Avoid(last.Add(2*ms), "p", noBirth)
	must.Eq(t, []string{"a"}, rather)
	r.Accept("a", now)
	must.True(t, r.Empty())
}

// Guards against a table that grows with all upstreams that ever refused.
func TestRefusalsAreForgotten(t *testing.T) {
	r := rest.Rests{}
	r.Ask(start, "p", "a", 0, time.Second)
	r.Refuse(start, "p", "b", 0, start)
	r.Ask(start.Add(2*time.Minute), "p", "c", 0, time.Second)
	never, rather := r.Avoid(start.Add(2*time.Minute), "p", noBirth)
	must.Eq(t, []string{"c"}, never)
	must.SliceEmpty(t, rather)
	must.Eq(t, 1, r.Count(start.Add(2*time.Minute)))
}

func BenchmarkNothingKnown(b *testing.B) {
	r := rest.Rests{}
	for b.Loop() {
		if !r.Take(start, "a", 0) {
			b.Fatal("refused")
		}
	}
}

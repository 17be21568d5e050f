package member_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"azurelane/core/member"
)

// BenchmarkMember reports what a member sends and the processor time that it
// takes, in a steady data centre and while 2 of 100 are restarted a minute.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{8, 16, 32, 60, 120} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/churn=%t", n, churn), func(b *testing.B) {
				f := newFake(1, n, nil)
				f.run(80 * time.Second) // The news of the start travels for a minute at 120 members.
				f.bytes, f.sent = 0, 0
				b.ResetTimer()
				s := 0
				for b.Loop() {
					if churn && s%max(1, 3000/n) == 0 {
						f.add(fmt.Sprintf("n%03d", 1+f.rng.IntN(n-1)), strconv.Itoa(s))
					}
					f.run(time.Second)
					s++
				}
				per := float64(s * n)
				b.ReportMetric(float64(f.bytes)/per, "B/s/member")
				b.ReportMetric(float64(f.sent)/per, "msg/s/member")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-us/s/member")
			})
		}
	}
}

// scenario is one way in which a network or a process is bad.
type scenario struct {
	name string
	loss func(from, to string) float64
	halt bool // Each process is frozen now and then, for up to 2.5 s.
}

var scenarios = []scenario{
	{name: "good"},
	{name: "loss-10", loss: func(string, string) float64 { return 0.10 }},
	{name: "loss-25", loss: func(string, string) float64 { return 0.25 }},
	{name: "one-bad-card", loss: func(from, to string) float64 {
		if from == "n003" || to == "n003" {
			return 0.5
		}
		return 0
	}},
	{name: "one-way-cuts", loss: func(from, to string) float64 {
		if (from == "n001" && to == "n002") || (from == "n004" && to == "n001") || (from == "n005" && to == "n006") {
			return 1
		}
		return 0.05
	}},
	{name: "freezes", halt: true},
}

// BenchmarkObservers compares a verdict by one observer without help, SWIM's
// (one observer, indirect probes) and one that several observers must share.
// It reports live members taken for dead, in 100 hours of one member, and the
// time from a kill to the first verdict and to that of all.
func BenchmarkObservers(b *testing.B) {
	ways := []struct {
		name  string
		build func(*member.Detector)
	}{
		{"alone", func(d *member.Detector) { d.Indirect, d.Observers = -1, 1 }},
		{"indirect", func(d *member.Detector) { d.Observers = 1 }},
		{"observers=2", func(d *member.Detector) { d.Observers = 2 }},
		{"observers=3", func(d *member.Detector) { d.Observers = 3 }},
	}
	for _, sc := range scenarios {
		for _, w := range ways {
			b.Run(sc.name+"/"+w.name, func(b *testing.B) {
				b.ResetTimer()
				var wrong, hours float64
				var first, all []time.Duration
				for range b.N {
					for seed := range uint64(8) {
						f, c := trial(seed, sc, w.build)
						wrong += float64(c)
						hours += 7 * 300.0 / 3600
						one, every := kill(f)
						first, all = append(first, one), append(all, every)
					}
				}
				slices.Sort(first)
				slices.Sort(all)
				b.ReportMetric(wrong/hours*100, "false/100h")
				b.ReportMetric(first[len(first)/2].Seconds(), "first-p50-s")
				b.ReportMetric(first[len(first)-1].Seconds(), "first-max-s")
				b.ReportMetric(all[len(all)/2].Seconds(), "all-p50-s")
				b.ReportMetric(all[len(all)-1].Seconds(), "all-max-s")
			})
		}
	}
}

// trial runs 7 members for five minutes and counts the live ones that any
// other took for dead.
func trial(seed uint64, sc scenario, build func(*member.Detector)) (*fake, int) {
	f := newFake(seed, 7, build)
	f.run(10 * time.Second)
	if sc.loss != nil {
		f.loss = sc.loss
	}
	for range 60 {
		if sc.halt {
			n := f.nodes[fmt.Sprintf("n%03d", f.rng.IntN(7))]
			n.frozen = f.now.Add(time.Duration(f.rng.Int64N(int64(2500 * time.Millisecond))))
		}
		f.run(5 * time.Second)
	}
	c := 0
	for name := range f.nodes {
		if f.lostBy(name+"-1") > 0 {
			c++
		}
	}
	for _, n := range f.nodes {
		n.lost = nil
		clear(n.lostAt)
	}
	return f, c
}

// kill ends one process and returns when the first and the last took it for dead.
func kill(f *fake) (first, all time.Duration) {
	f.nodes["n006"].down = true
	start := f.now
	f.run(30 * time.Second)
	first = 30 * time.Second
	for name, n := range f.nodes {
		if name == "n006" {
			continue
		}
		at, ok := n.lostAt["n006-1"]
		d := at.Sub(start)
		if !ok {
			d = 30 * time.Second
		}
		first, all = min(first, d), max(all, d)
	}
	return first, all
}

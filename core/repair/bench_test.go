package repair

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkReplacement measures replacements while links lose messages for 5.5 s: the time from the
// start of a successor to its vote, the elections and the time without a leader.
func BenchmarkReplacement(b *testing.B) {
	const lossy = 5500 * time.Millisecond
	for _, group := range []struct {
		name                      string
		losses, centres, replicas int
		cut                       string // Data centre that is cut off for that time.
	}{
		{"three", 1, 3, 3, ""}, {"five", 2, 5, 5, ""}, {"three-one-cut-off", 1, 3, 3, "z2"},
	} {
		for _, loss := range []float64{0, 0.04, 0.08} {
			for _, planned := range []bool{true, false} {
				if group.cut != "" && !planned {
					continue // Two of three replicas would be lost.
				}
				b.Run(fmt.Sprintf("%s/loss-%.2f/planned-%t", group.name, loss, planned), func(b *testing.B) {
					var votes []time.Duration
					var elections int
					var leaderless time.Duration
					for i := 0; b.Loop(); i++ {
						s := newSimulation(uint64(i+1), group.losses, group.centres, group.replicas) //nolint:gosec // Not negative.
						s.voteTimes, s.loss = nil, loss
						for _, n := range s.nodes {
							s.cut[n.id] = n.centre == group.cut
						}
						if !planned {
							s.kill(s.nodes[0])
						}
						s.run(time.Second)
						s.start(s.add("z0"))
						s.run(lossy - time.Second)
						s.loss = 0
						clear(s.cut)
						elections, leaderless = elections+s.elections, leaderless+s.leaderless
						s.run(2 * recoverTime)
						votes = append(votes, s.voteTimes...)
					}
					slices.Sort(votes)
					n := float64(b.N)
					b.ReportMetric(float64(len(votes))/n, "votes/op")
					if len(votes) > 0 {
						b.ReportMetric(votes[len(votes)/2].Seconds(), "s-to-vote-median")
						b.ReportMetric(votes[len(votes)*99/100].Seconds(), "s-to-vote-99")
					}
					b.ReportMetric(float64(elections)/n, "elections/op")
					b.ReportMetric(leaderless.Seconds()/n, "s-leaderless/op")
				})
			}
		}
	}
}

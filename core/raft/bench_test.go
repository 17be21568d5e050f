package raft

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCommit replicates entries of 150 bytes, 64 in a batch, through groups in memory. One
// operation is one entry, committed at every replica.
func BenchmarkCommit(b *testing.B) {
	const batch = 64
	for _, n := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("replicas-%d", n), func(b *testing.B) {
			s := newSim(1, n)
			s.run(5 * time.Second)
			l := s.leader()
			cmds := make([][]byte, batch)
			for i := range cmds {
				cmds[i] = make([]byte, 150)
			}
			b.ResetTimer()
			for i := 0; i < b.N; i += batch {
				_, e, err := l.Propose(l.clock(s), cmds...)
				if err != nil {
					b.Fatal(err)
				}
				s.performEffects(l, e)
				s.step()
				s.step()
			}
		})
	}
}

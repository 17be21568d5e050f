package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/leader"
)

type (
	regIn struct {
		id   string // Empty for reads.
		base uint64
	}
	regOut struct {
		code    string
		version uint64
		winner  string
		unknown bool
	}
	regState struct {
		version uint64
		change  string
	}
)

// register is the sequential model of the configuration.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{regState{}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(regState), in.(regIn), out.(regOut)
		after, want := st, regOut{code: state.OK, version: st.version, winner: st.change}
		if i.id != "" {
			if i.base == st.version {
				after = regState{st.version + 1, i.id}
				want = regOut{code: state.OK, version: after.version, winner: i.id}
			} else {
				want.code = state.Conflict
			}
		}
		switch {
		case o.unknown:
			return []any{st, after}
		case o == want:
			return []any{after}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// Checks that changes and reads of the configuration are linearizable while leaders are killed, cut
// off and restarted: no change is lost, no two get the same version, and no read is stale.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			group(t, 3, func(t *testing.T, n *network, _ *replica) { history(t, n, seed) })
		})
	}
}

func history(t *testing.T, n *network, seed uint64) {
	var (
		count atomic.Int64
		mu    sync.Mutex
		ops   []porcupine.Operation
		wg    sync.WaitGroup
	)
	end := time.Now().Add(40 * time.Second)
	for c := range 4 {
		wg.Go(func() {
			cl := n.client()
			rnd := rand.New(rand.NewPCG(seed, uint64(c)))
			known := uint64(0)
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
				in := regIn{}
				if rnd.IntN(2) == 0 {
					in = regIn{fmt.Sprintf("c%d-%d", c, k), known}
				}
				at := count.Add(1)
				out := ask(cl, in)
				back := count.Add(1)
				if out.unknown {
					back = 1 << 40
				} else {
					known = out.version
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: c, Input: in, Call: at, Output: out, Return: back})
				mu.Unlock()
			}
		})
	}
	rnd := rand.New(rand.NewPCG(seed, 99))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
		a := n.addrs[rnd.IntN(3)]
		switch r := n.at(a); rnd.IntN(4) {
		case 0:
			n.isolate(a, true)
		case 1:
			r.restart()
		default:
			for _, b := range n.addrs {
				n.isolate(b, false)
			}
		}
	}
	wg.Wait()
	must.Greater(t, 100, len(ops))
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(register, ops, time.Minute))
}

// ask sends one change or read. Reads are retried until a leader replies, as they change nothing.
func ask(cl *leader.Leader, in regIn) regOut {
	if in.id != "" {
		r, err := cl.Propose(context.Background(), change(in.id, in.base))
		return regOut{r.GetCode(), r.GetVersion(), r.GetWinner(), err != nil}
	}
	for {
		f, err := cl.Ask(context.Background(), func() *wire.Frame {
			return &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{Fresh: true}}}
		})
		if err == nil {
			return regOut{state.OK, f.GetStatus().GetVersion(), f.GetStatus().GetChange(), false}
		}
	}
}

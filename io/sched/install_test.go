package sched_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/sched"
)

// refusing is a policy that refuses its waiting tickets with the next configuration.
type refusing struct {
	kernel.Scheduler
	waiting []*wire.Ticket
}

func init() { kernel.Register("refusing", false, func() kernel.Scheduler { return &refusing{} }) }

// Configure refuses all waiting tickets.
func (p *refusing) Configure(time.Time, string, *conf.Config) []*wire.Decision {
	var list []*wire.Decision
	for _, t := range p.waiting {
		list = append(list, refuse.Ticket(t, refuse.NoUpstream, 0))
	}
	p.waiting = nil
	return list
}

// Submit has a ticket wait.
func (p *refusing) Submit(_ time.Time, t *wire.Ticket) []*wire.Decision {
	p.waiting = append(p.waiting, t)
	return nil
}

// Guards against a scheduler that blocks for good because a configuration refuses a waiting ticket:
// the callback of the ticket asks the scheduler how many tickets wait, as the leader does when it logs
// a refusal.
func TestInstallRefusesTicket(t *testing.T) {
	cfg := &conf.Config{Pools: map[string]pool.Pool{"p": {Scheduler: "refusing"}}}
	s := &sched.Sched{Log: logr.Discard()}
	s.Install(cfg)
	waiting := make(chan int, 1)
	s.SubmitAsync(t.Context(), ticket(1), func(*wire.Decision) { waiting <- s.Waiting() })
	go s.Install(cfg)
	select {
	case n := <-waiting:
		must.Zero(t, n)
	case <-time.After(5 * time.Second):
		t.Fatal("the scheduler blocks")
	}
}

package ctrl

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/cordon"
	"azurelane/core/state"
	"azurelane/core/wire"
)

func enroll(id string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: &wire.Upstream{Id: id, Pool: "p"}}}}
}

func orderCordon(order, upstream string, length time.Duration) *wire.Command {
	return &wire.Command{Id: order, Kind: &wire.Command_OrderCordon{OrderCordon: &wire.OrderCordon{
		Upstream: upstream, Author: "ann", LengthUs: length.Microseconds(),
	}}}
}

// Guards against a cordon that a change of leader loses, that returns when its order is sent again after it
// was lifted, whose expiry starts anew with each leader, or that stays after it.
func TestCordonOutlivesLeaders(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		const (
			length = 2 * time.Minute
			lag    = 5*time.Second + expireEvery + 2*time.Second // At each change of leader, with its election.
		)
		client := n.client()
		time.Sleep(length + time.Minute) // The log's clock counts from its start.
		command(t, client, enroll("a"))
		command(t, client, enroll("b"))
		must.Eq(t, state.OK, command(t, client, orderCordon("1", "a", length)).GetCode())
		ordered := time.Now()
		for range 3 {
			time.Sleep(length / 4)
			former := l
			former.stop()
			l = n.leader(former)
			former.restart()
			must.Eq(t, state.OK, command(t, client, orderCordon("1", "a", length)).GetCode())
			list, revision, _ := l.Cordons()
			must.Len(t, 1, list)
			must.Eq(t, "a", list[0].GetUpstream())
			must.Eq(t, 1, revision)
		}
		for list, _, _ := l.Cordons(); len(list) > 0; list, _, _ = l.Cordons() {
			must.Less(t, length+3*lag+expireEvery, time.Since(ordered))
			time.Sleep(100 * time.Millisecond)
		}
		must.Greater(t, length, time.Since(ordered))
		must.Eq(t, state.OK, command(t, client, orderCordon("1", "a", length)).GetCode())
		must.Eq(t, state.OK, command(t, client, orderCordon("2", "a", 1500*time.Millisecond)).GetCode())
		time.Sleep(1500*time.Millisecond + expireEvery + 2*tickEvery)
		list, _, _ := l.Cordons()
		must.SliceEmpty(t, list)
	})
}

// Guards against two operators who take the two last upstreams of a pool out of service at once.
func TestTwoOperatorsAtOnce(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		ids := []string{"a", "b"}
		for _, id := range ids {
			command(t, l, enroll(id))
		}
		codes := make([]string, len(ids))
		var wg sync.WaitGroup
		for i, id := range ids {
			wg.Go(func() { codes[i] = command(t, n.client(), orderCordon(id, id, time.Hour)).GetCode() })
		}
		wg.Wait()
		must.SliceContainsAll(t, []string{state.OK, cordon.LastUpstream}, codes)
		list, _, _ := l.Cordons()
		must.Len(t, 1, list)
	})
}

// Guards against an order that is acknowledged without a quorum, when the other replicas are lost while it is
// on its way. The same order sent again later is acknowledged and stored once.
func TestNoCordonWithoutQuorum(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, l, enroll("a"))
		command(t, l, enroll("b"))
		var others []*replica
		for _, a := range n.addrs {
			if r := n.at(a); r.id != l.id {
				others = append(others, r)
			}
		}
		for _, r := range others {
			slow(100*time.Millisecond, r)
		}
		acknowledged := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() {
			_, err := n.client().Propose(ctx, orderCordon("1", "a", time.Hour))
			acknowledged <- err
		}()
		time.Sleep(50 * time.Millisecond) // They have it, and their disks have not.
		for _, r := range others {
			n.isolate(r.Address, true)
		}
		must.Error(t, <-acknowledged)
		list, _, _ := l.Cordons()
		must.SliceEmpty(t, list)
		for _, r := range others {
			n.isolate(r.Address, false)
		}
		must.Eq(t, state.OK, command(t, n.client(), orderCordon("1", "a", time.Hour)).GetCode())
		time.Sleep(time.Second)
		for _, a := range n.addrs {
			list, revision, _ := n.at(a).Cordons()
			must.Len(t, 1, list)
			must.Eq(t, 1, revision)
		}
	})
}

package wait

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/item"
	"azurelane/core/wire"
)

var start = time.Unix(1000, 0)

const (
	ms  = time.Millisecond
	run = 60 * ms
)

// newItem returns a ticket that is late after objective and of no use after deadline.
func newItem(id uint64, priority int32, objective, deadline time.Duration) *item.Item {
	return &item.Item{Ticket: &wire.Ticket{
		Id: id, Incarnation: "i", Account: "a", Priority: priority, ObjectiveUs: objective.Microseconds(), DeadlineUs: deadline.Microseconds(),
	}}
}

// order grants places to all tickets and returns their IDs.
func order(l *List, now time.Time) (ids []uint64) {
	l.StartRound()
	for i := l.Next(now, func(*item.Item) (bool, bool) { return true, false }); i != nil; i = l.Next(now, func(*item.Item) (bool, bool) { return true, false }) {
		ids = append(ids, i.GetId())
	}
	return ids
}

// Guards against late requests that go before those which can be in time, and against an order by arrival.
func TestOrder(t *testing.T) {
	list := []*item.Item{
		newItem(1, 2, 300*ms, 4*time.Second),
		newItem(2, 2, 200*ms, 4*time.Second),
		newItem(3, 1, 300*ms, 4*time.Second),
		newItem(4, 0, -100*ms, 3*time.Second), // Returned.
		newItem(5, 2, 0, 4*time.Second),       // No objective.
		newItem(6, 2, -100*ms, 2*time.Second),
		newItem(7, 2, -100*ms, time.Second),
		newItem(8, 2, 0, 4*time.Second),
	}
	list[7].GoesOn = true
	for _, tc := range []struct {
		name  string
		after time.Duration
		want  []uint64
	}{
		{"at once", 0, []uint64{8, 3, 2, 1, 5, 4, 7, 6}},
		{"one is late", 150 * ms, []uint64{8, 3, 1, 5, 4, 7, 6, 2}},
		{"all with an objective are late", 250 * ms, []uint64{8, 5, 4, 3, 7, 6, 1, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &List{}
			l.Set(100, run)
			for _, i := range list {
				l.Push(start, i)
			}
			must.Eq(t, tc.want, order(l, start.Add(tc.after)))
			must.Eq(t, 0, l.Len())
		})
	}
}

// Guards against a ticket that keeps others from places which it can't use.
func TestTicketThatFitsNowhereIsPassedOver(t *testing.T) {
	l := &List{}
	for id := range uint64(4) {
		i := newItem(id, int32(id), 300*ms, time.Second) //nolint:gosec // Small.
		if id < 2 {
			i.RunsAt = "old"
		}
		l.Push(start, i)
	}
	tries := 0
	try := func(i *item.Item) (bool, bool) {
		tries++
		return i.RunsAt == "", i.RunsAt == "old"
	}
	l.StartRound()
	must.Eq(t, 2, l.Next(start, try).GetId())
	must.Eq(t, 3, l.Next(start, try).GetId())
	must.Nil(t, l.Next(start, try))
	must.Eq(t, 3, tries, must.Sprint("one of a version without places"))
	l.SetVersions(func(*wire.Ticket) string { return "" })
	must.Eq(t, []uint64{0, 1}, order(l, start))
}

// overload plays arrivals of a rate, at servers that complete another one, and returns how many tickets got a
// place, how many were refused, and the mean wait of these. Done is called with each refusal.
func overload(l *List, rate, served int, lasts time.Duration, done func(now, after time.Duration)) (granted, refused int, waited time.Duration) {
	arrived := map[uint64]time.Duration{}
	l.Set(float64(served), run)
	for now, id, credit := time.Duration(0), uint64(0), 0.; now < lasts; now += 5 * ms {
		at := start.Add(now)
		for ; float64(id) < float64(rate)*now.Seconds(); id++ {
			i := newItem(id, 2, 300*ms, 4*time.Second)
			arrived[id] = now
			l.Arrive(at, i)
			l.Push(at, i)
		}
		l.StartRound()
		for credit += float64(served) * 0.005; credit >= 1 && l.Next(at, func(*item.Item) (bool, bool) { return true, false }) != nil; credit-- {
			granted++
		}
		credit = min(credit, 1)
		l.Review(at, served*60/1000, func(i *item.Item, after time.Duration) {
			refused++
			waited += now - arrived[i.GetId()]
			if done != nil {
				done(now, after)
			}
		})
	}
	return granted, refused, waited / time.Duration(max(refused, 1))
}

// Guards against callers that wait for most of their time and are refused then, in an overload that lasts, and
// against refusals where all can be served. A third of the time that is left must remain for a return.
func TestLastingOverload(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rate    int
		refused int
	}{{"below the capacity", 380, 0}, {"a half too much", 600, 2000}} {
		t.Run(tc.name, func(t *testing.T) {
			l := &List{}
			_, early, _ := overload(l, tc.rate, 400, 4*time.Second, nil)
			must.LessEq(t, tc.refused, early)
			l = &List{}
			granted, refused, waited := overload(l, tc.rate, 400, 20*time.Second, nil)
			t.Logf("%d got a place, %d refused after %s", granted, refused, waited)
			must.LessEq(t, 300*ms, waited)
			must.GreaterEq(t, min(tc.rate, 400)*20*98/100, granted)
			must.Between(t, tc.refused, refused, 2*tc.refused)
		})
	}
}

// Guards against refused callers that return too late, or all at once. They honour up to a third of the time left.
func TestReturns(t *testing.T) {
	l := &List{}
	steps := map[time.Duration]int{}
	_, refused, _ := overload(l, 1200, 400, 10*time.Second, func(now, after time.Duration) {
		must.Between(t, minReturn/2, after, 4*time.Second/3)
		steps[(now+after).Truncate(returnStep)]++
	})
	most := 0
	for _, n := range steps {
		most = max(most, n)
	}
	must.LessEq(t, 4*refused/len(steps), most)
}

// Guards against a Retry-After that leads to the middle of an overload although there is room before: the first
// callers get the first room, the others what is left.
func TestReturnsLeadToRoom(t *testing.T) {
	l := &List{}
	l.Set(400, run)
	for n := range 300 { // 100 requests a second leave 300 places.
		at := start.Add(time.Duration(n) * 10 * ms)
		l.Arrive(at, newItem(uint64(n), 2, 300*ms, 4*time.Second))
	}
	now := start.Add(3 * time.Second)
	l.Push(now, newItem(1000, 2, 300*ms, 4*time.Second))
	l.Review(now, 24, func(*item.Item, time.Duration) { must.Unreachable(t) })
	var last time.Duration
	for id := range uint64(300) {
		after := l.ReturnAfter(now, newItem(id, 2, 300*ms, 4*time.Second))
		must.GreaterEq(t, last-returnStep, after)
		last = max(last, after)
	}
	must.Between(t, 800*ms, last, 4*time.Second/3)
}

// Guards against an account that fills the whole list, and against tickets that stay in it.
func TestShedAndRemove(t *testing.T) {
	l := &List{}
	for id := range uint64(5) {
		l.Push(start, newItem(id, 2, 300*ms, 4*time.Second))
	}
	other := newItem(9, 2, 300*ms, 4*time.Second)
	other.Account = "b"
	l.Push(start, other)
	account, n := l.Busiest()
	must.Eq(t, "a", account)
	must.Eq(t, 5, n)
	must.Eq(t, 4, l.Shed("a", 4).GetId(), must.Sprint("the last one"))
	must.Nil(t, l.Shed("a", 4))
	must.Nil(t, l.Remove("other", 1))
	must.Eq(t, 1, l.Remove("i", 1).GetId())
	must.Eq(t, []uint64{0, 2, 3, 9}, order(l, start))
}

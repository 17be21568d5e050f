package watch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/wire"
)

const (
	pause     = 20 * time.Millisecond  // Between two replicas that are asked who leads.
	findLimit = 400 * time.Millisecond // For all of them to say.
	// localGrace is for how long others may still answer after a replica of this data
	// centre has said that it is cut off: some ways there and back.
	localGrace = 60 * time.Millisecond
	// localWait is how long a scheduler of this data centre alone may hold an answer
	// back. After each the entry looks whether it reaches others again.
	localWait = 300 * time.Millisecond
)

// found is whom to follow.
type found struct {
	addr  netip.AddrPort
	local bool // A replica that schedules this data centre alone.
}

// word is what one replica says.
type word struct {
	found
	elsewhere bool // It stands in another data centre.
}

// hinted is the leader that a replica named instead of itself.
func hinted(err error) netip.AddrPort {
	var f *wire.Fault
	if !errors.As(err, &f) {
		return netip.AddrPort{}
	}
	a, perr := netip.ParseAddrPort(f.GetLeader())
	if perr != nil {
		return netip.AddrPort{}
	}
	return a
}

// find asks the replicas who leads, one after the other, and does not wait for
// one that is silent before it asks the next: after a loss of power those that
// are not back yet would keep an entry from the leader that is.
//
// Where only replicas of this data centre answer and one of them says that it is cut
// off, that one is to be followed. While others answer there will be a leader.
func (w *Watcher) find(ctx context.Context) found {
	list := w.known()
	ctx, cancel := context.WithTimeout(ctx, findLimit)
	defer cancel()
	words := make(chan word, len(list))
	next, grace := time.NewTimer(0), time.NewTimer(findLimit)
	defer next.Stop()
	defer grace.Stop()
	var local found
	elsewhere := false
	for asked, ended := 0, 0; ended < len(list); {
		select {
		case a := <-words:
			ended++
			elsewhere = elsewhere || a.elsewhere
			switch {
			case a.addr.IsValid() && !a.local:
				return a.found
			case a.local && !local.local:
				local = a.found
				grace.Reset(localGrace)
			case a.local && a.addr.Compare(local.addr) < 0:
				local = a.found // The same one for all entries, if there are two.
			}
		case <-next.C:
			if asked == len(list) {
				continue
			}
			asked++
			w.next++
			to := list[w.next%len(list)]
			go func() { words <- w.leader(ctx, to) }()
			next.Reset(pause)
		case <-grace.C:
			if asked < len(list) {
				grace.Reset(localGrace)
				continue
			}
			return local.unless(elsewhere)
		case <-ctx.Done():
			return local.unless(elsewhere)
		}
	}
	return local.unless(elsewhere)
}

// unless drops what was found when replicas of other data centres answered.
func (f found) unless(elsewhere bool) found {
	if elsewhere {
		return found{}
	}
	return f
}

// known lists the replicas to ask.
func (w *Watcher) known() []netip.AddrPort {
	w.mu.Lock()
	list := slices.Clone(w.replicas)
	w.mu.Unlock()
	for _, s := range w.Seeds() {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// leader is who leads by the word of one replica; invalid where it knows none.
func (w *Watcher) leader(ctx context.Context, to netip.AddrPort) word {
	f, err := w.Mesh.Call(ctx, to, &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}})
	if err != nil {
		w.Log.V(1).Info("Control replica not reached.", "address", to.String(), "err", err.Error())
		return word{}
	}
	s := f.GetStatus()
	w.learn(s.GetReplicas())
	if a, err := netip.ParseAddrPort(s.GetLeader()); err == nil {
		return word{found: found{addr: a}}
	}
	elsewhere := s.GetDataCentre() != w.DataCentre
	if s.GetCutOff() && !elsewhere {
		return word{found: found{to, true}}
	}
	return word{elsewhere: elsewhere}
}

func (w *Watcher) learn(list []*wire.Replica) {
	var addrs []string
	for _, r := range list {
		addrs = append(addrs, r.GetAddress())
	}
	w.learnAddrs(addrs)
}

func (w *Watcher) learnAddrs(list []string) {
	var all []netip.AddrPort
	for _, s := range list {
		if a, err := netip.ParseAddrPort(s); err == nil {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = all
}

// Package tried keeps track of the upstreams that a request was sent to, and decides which may get it next.
package tried

import "slices"

// Tried holds the upstreams that one request was sent to. The zero value has none.
type Tried struct {
	sends  int
	failed []string // They may not get it again.
	silent []string // Given up while silent. They may get it again if there is no other.
	ran    []string // They may have run it.
	back   bool     // Silent upstreams may get it again.
}

// Fail records a send that failed, and whether the upstream may have run the request.
func (t *Tried) Fail(id string, ran bool) {
	t.sends++
	t.failed = append(t.failed, id)
	if ran {
		t.addRun(id)
	}
}

// GiveUp records a send to an upstream that was silent and may still go on.
func (t *Tried) GiveUp(id string) {
	t.sends++
	t.silent = append(t.silent, id)
	t.addRun(id)
}

// Drop records a send that was not needed any more. The upstream may get the request again.
func (t *Tried) Drop(id string) {
	t.sends++
	t.addRun(id)
}

func (t *Tried) addRun(id string) {
	if !slices.Contains(t.ran, id) {
		t.ran = append(t.ran, id)
	}
}

// Sends returns the number of sends.
func (t *Tried) Sends() int { return t.sends }

// Ran returns the number of upstreams that may have run the request.
func (t *Tried) Ran() int { return len(t.ran) }

// MayRun reports whether an upstream may run the request if at most that many may.
func (t *Tried) MayRun(most int) bool {
	return len(t.ran) < most || slices.ContainsFunc(t.ran, func(id string) bool { return !slices.Contains(t.failed, id) })
}

// MayRunBeside reports whether another upstream may run the request, if at most that many may, while one may
// be running it.
func (t *Tried) MayRunBeside(id string, most int) bool {
	n := len(t.ran)
	if !slices.Contains(t.ran, id) {
		n++
	}
	return n < most || slices.ContainsFunc(t.ran, func(other string) bool { return other != id && !slices.Contains(t.failed, other) })
}

// Beside returns a copy for a send to another upstream than one that may be running the request.
func (t *Tried) Beside(id string) Tried {
	c := Tried{sends: t.sends, failed: slices.Clone(t.failed), silent: slices.Clone(t.silent), ran: slices.Clone(t.ran)}
	c.Fail(id, true)
	return c
}

// GoBack lets silent upstreams get the request again, and reports whether there are any that could not
// before.
func (t *Tried) GoBack() bool {
	if t.back || len(t.silent) == 0 {
		return false
	}
	t.back = true
	return true
}

// Excludes returns those of all upstreams that may not get the request, if at most that many may run it,
// and upstreams that failed it even if they are not among these. Silent ones are excluded only while there is
// another one: a request that waited for none would wait until its time is over.
func (t *Tried) Excludes(most int, all []string) []string {
	list, others := slices.Clone(t.failed), false
	for _, id := range all {
		switch {
		case len(t.ran) >= most && !slices.Contains(t.ran, id):
			list = append(list, id)
		case !slices.Contains(t.failed, id) && !slices.Contains(t.silent, id):
			others = true
		}
	}
	if others && !t.back {
		list = append(list, t.silent...)
	}
	return list
}

// Package doubt keeps crashes of upstreams that are not sure: connections are refused, but the entry that
// saw it may have lost its path.
package doubt

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const (
	// retention is how long a crash is kept. An upstream that takes longer to be replaced may have ended
	// for another reason.
	retention = 10 * time.Second
	// maxCrashes is the number of crashes that are kept; the oldest go first.
	maxCrashes = 1024
)

type (
	// Doubt holds crashes that are not sure. The zero value is ready to use.
	Doubt struct {
		crashes []unsure
	}

	unsure struct {
		*wire.Crash
		at time.Time
	}
)

// Add keeps a crash that happened at the given time, once for a request and an incarnation.
func (d *Doubt) Add(now, at time.Time, c *wire.Crash) {
	d.expire(now)
	if now.Sub(at) > retention || slices.ContainsFunc(d.crashes, func(u unsure) bool {
		return u.GetUpstream() == c.GetUpstream() && slices.Equal(u.GetDigest(), c.GetDigest())
	}) {
		return
	}
	if len(d.crashes) == maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	d.crashes = append(d.crashes, unsure{c, at})
}

// Settle removes and returns the crashes of upstreams whose processes have ended.
func (d *Doubt) Settle(now time.Time, ended func(id string, born int64) bool) []*wire.Crash {
	d.expire(now)
	var list []*wire.Crash
	d.crashes = slices.DeleteFunc(d.crashes, func(u unsure) bool {
		if !ended(u.GetId(), u.GetBorn()) {
			return false
		}
		c := u.wire(now)
		c.Unsure = false
		list = append(list, c)
		return true
	})
	return list
}

// Clear removes the crashes under a request.
func (d *Doubt) Clear(request digest.Digest) {
	d.crashes = slices.DeleteFunc(d.crashes, func(u unsure) bool { return slices.Equal(u.GetDigest(), request[:]) })
}

// Crashes returns all crashes with their ages.
func (d *Doubt) Crashes(now time.Time) []*wire.Crash {
	d.expire(now)
	var list []*wire.Crash
	for _, u := range d.crashes {
		list = append(list, u.wire(now))
	}
	return list
}

// Knows reports whether a crash under a request is kept.
func (d *Doubt) Knows(now time.Time, request digest.Digest) bool {
	d.expire(now)
	return slices.ContainsFunc(d.crashes, func(u unsure) bool { return slices.Equal(u.GetDigest(), request[:]) })
}

func (u unsure) wire(now time.Time) *wire.Crash {
	c := proto.CloneOf(u.Crash)
	c.AgeUs = now.Sub(u.at).Microseconds()
	return c
}

func (d *Doubt) expire(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(u unsure) bool { return now.Sub(u.at) > retention })
}

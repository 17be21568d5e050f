// Package origin remembers at which version of its upstreams each stream began, so that a stream that
// a caller takes up goes on at that version.
package origin

import (
	"sync"
	"time"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// DefaultLimit is the number of streams that are remembered if no other limit is set. A stream takes
// some 150 bytes.
const DefaultLimit = 1 << 16

type (
	// Origin holds the versions of streams, each for as long as it may be taken up. Above its limit it
	// forgets the streams that were recorded first. The zero value is empty and ready to use.
	Origin struct {
		Limit int // Most streams; 0 for DefaultLimit.

		mu       sync.Mutex
		byStream map[digest.Digest]record
		order    []entry // In the order in which they were recorded; may hold outdated elements.
		number   uint64
	}

	record struct {
		version string
		until   time.Time
		number  uint64 // Of its element in order.
	}

	entry struct {
		stream digest.Digest
		number uint64
	}
)

// Key returns the name of a stream that began with an attempt of a client account. Streams of two
// accounts or two pools never share a name.
func Key(account, pool, attempt string) digest.Digest { return digest.Of(account, pool, attempt, nil) }

// Record remembers the version of a stream for a while. A later record of the same stream replaces
// the version; it never shortens the time.
func (o *Origin) Record(now time.Time, stream digest.Digest, version string, keep time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byStream == nil {
		o.byStream = map[digest.Digest]record{}
	}
	until := now.Add(keep)
	if old, ok := o.byStream[stream]; ok && old.until.After(until) {
		until = old.until
	}
	o.number++
	o.byStream[stream] = record{version, until, o.number}
	o.order = append(o.order, entry{stream, o.number})
	o.trim(now)
}

// trim forgets streams whose time is over, as far as they were recorded first, and the first ones
// above the limit.
func (o *Origin) trim(now time.Time) {
	limit := o.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	for len(o.order) > 0 {
		first := o.order[0]
		r, ok := o.byStream[first.stream]
		switch current := ok && r.number == first.number; {
		case current && now.Before(r.until) && len(o.byStream) <= limit && len(o.order) <= 2*limit:
			return
		case current:
			delete(o.byStream, first.stream)
		}
		o.order = o.order[1:]
	}
}

// Version returns the version of a stream, and whether it is remembered.
func (o *Origin) Version(now time.Time, stream digest.Digest) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.byStream[stream]
	return r.version, ok && now.Before(r.until)
}

// Len returns the number of streams that are remembered.
func (o *Origin) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byStream)
}

// List returns all streams that may still be taken up.
func (o *Origin) List(now time.Time) []*wire.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*wire.Origin
	for stream, r := range o.byStream {
		if left := r.until.Sub(now); left > 0 {
			list = append(list, &wire.Origin{Stream: stream[:], Version: r.version, KeepUs: left.Microseconds()})
		}
	}
	return list
}

// Merge records the streams of a list. It skips elements without a valid name.
func (o *Origin) Merge(now time.Time, list []*wire.Origin) {
	for _, r := range list {
		if stream, ok := digest.From(r.GetStream()); ok {
			o.Record(now, stream, r.GetVersion(), time.Duration(r.GetKeepUs())*time.Microsecond)
		}
	}
}

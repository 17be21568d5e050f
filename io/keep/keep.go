// Package keep holds the runs of idempotency keys at the entry that runs them,
// and their answers for a while after.
package keep

import (
	"sync"
	"time"

	"azurelane/core/answer"
	"azurelane/io/flight"
)

// overhead is what a kept run costs besides its answer, roughly, in bytes.
const overhead = 1 << 10

const sweepEvery = time.Second

type (
	// Keep is the table of runs. The zero value keeps no answer beyond its
	// record.
	Keep struct {
		mu       sync.Mutex
		bytes    int64 // Limit of all kept answers.
		age      time.Duration
		next     time.Time // Of the next look for answers whose time is over.
		runs     map[id]*run
		accounts map[string]*share
		total    int64
	}

	id struct{ account, key string }

	run struct {
		*flight.Flight
		id
		size  int64
		ended time.Time
	}

	// share is what one account has kept, the oldest first.
	share struct {
		runs  []*run
		bytes int64
	}
)

// Limit sets how many bytes of answers are kept, and for how long.
func (k *Keep) Limit(bytes int64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytes, k.age = bytes, age
}

// Begin returns the run of a key and false, or makes f its run and returns it
// and true. Equal keys of two accounts never meet.
func (k *Keep) Begin(account, key string, f *flight.Flight) (*flight.Flight, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
	i := id{account, key}
	if r, ok := k.runs[i]; ok {
		return r.Flight, false
	}
	if k.runs == nil {
		k.runs, k.accounts = map[id]*run{}, map[string]*share{}
	}
	k.runs[i] = &run{Flight: f, id: i}
	return f, true
}

// Find returns the run of a key, or nil.
func (k *Keep) Find(account, key string) *flight.Flight {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
	if r, ok := k.runs[id{account, key}]; ok {
		return r.Flight
	}
	return nil
}

// Drop forgets a run, because nothing ran.
func (k *Keep) Drop(account, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.runs, id{account, key})
}

// Keep lets the answer of an ended run go when its time is over or the memory
// is needed. Before this call the run stays whatever it takes: its outcome is
// not on record yet, and an entry that said too early that it holds no such run
// would have the key freed and run again.
func (k *Keep) Keep(account, key string, a *answer.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.runs[id{account, key}]
	if !ok {
		return
	}
	now := time.Now()
	r.size, r.ended = a.Size()+overhead, now
	s := k.accounts[account]
	if s == nil {
		s = &share{}
		k.accounts[account] = s
	}
	s.runs = append(s.runs, r)
	s.bytes += r.size
	k.total += r.size
	k.expire(now)
	for k.total > k.bytes {
		k.evict(k.largest())
	}
}

// Bytes is what the kept answers take.
func (k *Keep) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.total
}

// expire forgets what was kept for its time. It looks at every account, so it
// does it once a second at most.
func (k *Keep) expire(now time.Time) {
	if now.Before(k.next) {
		return
	}
	k.next = now.Add(sweepEvery)
	for account, s := range k.accounts {
		for len(s.runs) > 0 && now.Sub(s.runs[0].ended) > k.age {
			k.evict(account)
		}
	}
}

// largest names the account that has kept the most bytes. Its answers go first,
// so that one account's answers can't push out those of the others.
func (k *Keep) largest() string {
	name, most := "", int64(-1)
	for account, s := range k.accounts {
		if s.bytes > most || (s.bytes == most && account < name) {
			name, most = account, s.bytes
		}
	}
	return name
}

// evict forgets the oldest run that an account has kept.
func (k *Keep) evict(account string) {
	s := k.accounts[account]
	r := s.runs[0]
	s.runs = s.runs[1:]
	s.bytes -= r.size
	k.total -= r.size
	delete(k.runs, r.id)
	if len(s.runs) == 0 {
		delete(k.accounts, account)
	}
}

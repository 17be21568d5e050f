package canary

import (
	"fmt"
	"math"
	"time"

	"azurelane/core/wire"
)

const (
	// rejectLimit is the log-likelihood ratio at which a version counts as bad. Wald's sequential
	// test with this bound takes a good version for a bad one about once in five thousand tests.
	rejectLimit = 8.5
	// acceptLimit is the ratio that the evidence of each route must have reached before the target
	// version gets all requests, and shiftAcceptLimit before the rollout completes. The ratio never falls below floor, or shiftFloor under the whole
	// load, so that a version which turns bad late is noticed about as soon as one that is bad from
	// the start (Page's CUSUM).
	acceptLimit      = -2.3
	shiftAcceptLimit = -6.0
	floor            = -3.0
	shiftFloor       = -6.5
	// suspicionLimit is the ratio above which a rollout neither shifts nor completes.
	suspicionLimit = 3.5
	// minAnswers is the number of answers of the target version without which it gets no more than
	// a share.
	minAnswers = 15
	// failureStep and slowStep are by how much the share of failed and of slow answers of a bad
	// version exceeds that of the base version. Where the base version's own share is large, the
	// difference is deviationStep standard deviations of one answer, because a smaller one can't be
	// told from chance within a rollout. The sum of failures over all routes keeps to failureStep:
	// with a larger one, answers of a route that fails often by itself speak for a bad version.
	failureStep   = 0.04
	slowStep      = 0.15
	deviationStep = 0.5
	minFailures   = 0.004 // Least share of failures that is taken for granted.
	minSlow       = 0.02
	maxBase       = 0.9  // Greatest share of the base version that is compared, and
	maxBad        = 0.98 // that of a bad version.
	// The answers of the base version within about memoryTime count, and at least minMemory and at
	// most maxMemory of them; older ones fade. The share of failed or slow answers in the last
	// recentTime, but at least minRecent answers, counts instead if it is higher (failures: beyond
	// chance), so that a burst or an outage that affects both versions is no evidence against either.
	memoryTime   = 3 * time.Second
	minMemory    = 200
	maxMemory    = 3000
	recentTime   = 400 * time.Millisecond
	minRecent    = 60
	priorAnswers = 5
	// burstDeviations is by how many standard deviations the recent failures must exceed the known
	// share to count instead of it.
	burstDeviations = 2
	caution         = 0.6 // Standard errors added to the base version's share.
	// minBaseAnswers is the number of answers of the base version below which nothing is compared.
	minBaseAnswers = 20
	// slowQuantile is the quantile of the base version's times above which an answer may be slow,
	// and slowBuckets the distance from the median that it needs besides: a factor of two.
	slowQuantile = 0.9
	slowBuckets  = 2
)

type (
	// route is the evidence of one route.
	route struct {
		sent     int64 // Requests to either version.
		failures failures
		times    times
	}

	// test is a sequential test of a share: that of the target version against that of the base
	// version at the same time.
	test struct {
		score         float64 // Log-likelihood ratio of bad against good.
		lowest        float64 // Least score so far.
		pooled        bool    // It sums routes up, and takes the same step for all of them.
		shifted       bool    // The target version gets all requests.
		answers, hits int64   // Of the target version.
		lastBase      float64 // Share of the base version at the last update.
	}

	// failures tests the share of failed answers.
	failures struct {
		test
		known, recent fading // Failed answers of the base version.
	}

	// memory is how many answers of the base version count.
	memory struct{ all, recent float64 }

	// fading is a share of which older observations fade.
	fading struct{ hits, n float64 }

	// times tests the share of slow answers, by size of the requests.
	times struct {
		test
		classes map[int32]*histogram
	}

	// slowness is what a report says about the times of one size class.
	slowness struct {
		answers, slow int64   // Of the target version.
		base          float64 // Share of slow answers of the base version.
	}

	// histogram counts times of the base version by bucket; older ones fade.
	histogram struct {
		counts []float64
		sum    float64
		recent fading // Slow answers.
	}
)

// add updates the test by hits among n answers of the target version, where the base version has
// the share base and a bad version would have at least step more.
func (t *test) add(n, hits int64, base, step float64) {
	if n <= 0 {
		return
	}
	base = min(base, maxBase)
	if !t.pooled {
		step = max(step, deviationStep*math.Sqrt(base*(1-base)))
	}
	bad := min(base+step, maxBad)
	t.score += float64(hits)*math.Log(bad/base) + float64(n-hits)*math.Log((1-bad)/(1-base))
	least := floor
	if t.shifted {
		least = shiftFloor
	}
	t.score = max(t.score, least)
	t.lowest = min(t.lowest, t.score)
	t.answers, t.hits, t.lastBase = t.answers+n, t.hits+hits, base
}

func (t *test) bad() bool { return t.score >= rejectLimit }

// restart begins the test anew for the whole load, with the evidence against the version that there is.
func (t *test) restart() { t.score, t.lowest, t.shifted = max(t.score, 0), 0, true }

// good reports whether the evidence has reached the limit and nothing has spoken against the
// version since.
func (t *test) good(limit float64) bool { return t.lowest <= limit && t.score < suspicionLimit }

// String describes the evidence for logs.
func (t *test) String() string {
	return fmt.Sprintf("%d of %d, base %.3f, score %.1f", t.hits, t.answers, t.lastBase, t.score)
}

// add counts observations and keeps the weight of most of them.
func (f *fading) add(n, hits, most float64) {
	f.n += n
	f.hits += hits
	if f.n > most {
		f.hits *= most / f.n
		f.n = most
	}
}

func (f *failures) addBase(ended, failed int64, m memory) {
	n, hits := float64(max(ended, 0)), float64(max(failed, 0))
	f.known.add(n, hits, m.all)
	f.recent.add(n, hits, max(m.recent, minMemory))
}

// base returns the share of failures of the base version. All routes together count as priorAnswers
// of its answers, for routes with few requests.
func (f *failures) base(all *failures) float64 {
	prior := (all.known.hits + 0.5) / (all.known.n + 1)
	known := fading{f.known.hits + prior*priorAnswers, f.known.n + priorAnswers}
	recent := fading{f.recent.hits + prior*priorAnswers, f.recent.n + priorAnswers}
	return max(baseShare(known, recent), minFailures)
}

// baseShare estimates a share of the base version. The recent answers count instead of all known ones
// only if their share is higher beyond chance: the higher of two shares is too high on average.
func baseShare(known, recent fading) float64 {
	share := upperShare(known.hits, known.n)
	if recent.hits > recent.n*share+burstDeviations*math.Sqrt(recent.n*share*(1-share)) {
		return max(share, upperShare(recent.hits, recent.n))
	}
	return share
}

// upperShare estimates a share from hits among n answers, and adds a part of its standard error, so that a
// few answers of the base version without a hit are no evidence against the target version.
func upperShare(hits, n float64) float64 {
	share := (hits + 0.5) / (n + 1)
	return share + caution*math.Sqrt(share*(1-share)/(n+1))
}

func (t *times) addBase(before, now *wire.RouteEvidence, m memory) {
	for class, counts := range newCounts(before, now) {
		if t.classes == nil {
			t.classes = map[int32]*histogram{}
		}
		h := t.classes[class]
		if h == nil {
			h = &histogram{}
			t.classes[class] = h
		}
		h.add(counts, m)
	}
}

// compare counts the slow answers in each size class, for the classes of which the base version's
// times are known.
func (t *times) compare(counts map[int32][]int64) []slowness {
	var list []slowness
	for class, n := range counts {
		h := t.classes[class]
		if h == nil || h.sum < minBaseAnswers {
			continue
		}
		limit, base := h.slow()
		s := slowness{base: base}
		for bucket, count := range n {
			s.answers += count
			if bucket > limit {
				s.slow += count
			}
		}
		list = append(list, s)
	}
	return list
}

// slowLimit returns the time above which answers of the route are slow in the size class with the
// longest times.
func (t *times) slowLimit() time.Duration {
	var longest time.Duration
	for _, h := range t.classes {
		if h.sum >= minBaseAnswers {
			bucket, _ := h.slow()
			longest = max(longest, BucketTime(bucket+1))
		}
	}
	return longest
}

// newCounts returns what is new in each size class of now against before.
func newCounts(before, now *wire.RouteEvidence) map[int32][]int64 {
	old := map[int32][]int64{}
	for _, t := range before.GetTimes() {
		old[t.GetSizeClass()] = t.GetCounts()
	}
	list := map[int32][]int64{}
	for _, t := range now.GetTimes() {
		counts := make([]int64, len(t.GetCounts()))
		for i, n := range t.GetCounts() {
			counts[i] = n
			if was := old[t.GetSizeClass()]; i < len(was) {
				counts[i] = max(n-was[i], 0)
			}
		}
		list[t.GetSizeClass()] = counts
	}
	return list
}

func (h *histogram) add(counts []int64, m memory) {
	n := 0.0
	for i, count := range counts {
		if i == len(h.counts) {
			h.counts = append(h.counts, 0)
		}
		h.counts[i] += float64(count)
		n += float64(count)
	}
	h.sum += n
	// The limit is that of all times with these, as there may have been none before.
	limit, slow := h.slowBucket(), 0.0
	for i := limit + 1; i < len(counts); i++ {
		slow += float64(counts[i])
	}
	h.recent.add(n, slow, max(m.recent, minRecent))
	if h.sum > m.all {
		for i := range h.counts {
			h.counts[i] *= m.all / h.sum
		}
		h.sum = m.all
	}
}

// slowBucket returns the bucket above which a time is slow.
func (h *histogram) slowBucket() int {
	return max(h.quantile(slowQuantile), h.quantile(0.5)+slowBuckets)
}

// slow returns the bucket above which a time is slow, and the share of the base version's times
// that are.
func (h *histogram) slow() (bucket int, share float64) {
	bucket = h.slowBucket()
	above := 0.0
	for i := bucket + 1; i < len(h.counts); i++ {
		above += h.counts[i]
	}
	return bucket, max(upperShare(above, h.sum), upperShare(h.recent.hits, h.recent.n), minSlow)
}

// quantile returns the bucket that holds the given quantile.
func (h *histogram) quantile(q float64) int {
	sum := 0.0
	for i, n := range h.counts {
		if sum += n; sum >= q*h.sum {
			return i
		}
	}
	return len(h.counts) - 1
}

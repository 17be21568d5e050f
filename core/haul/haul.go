// Package haul estimates how long a move of a run takes, from the moves made before.
package haul

import "time"

const (
	// defaultPerToken is the time of a copy for each token until it is learned: a prompt of 6,700 tokens takes
	// some 100 ms on the engines' links.
	defaultPerToken = 15 * time.Microsecond
	// defaultPause is the time from the stop to the first event elsewhere until it is learned. It has the last
	// copy and two round trips in it.
	defaultPause = 150 * time.Millisecond
	// learnRate is the weight of one move.
	learnRate = 0.2
)

// Haul holds what was learned. The zero value is ready. It is not safe for concurrent use.
type Haul struct {
	perToken, pause time.Duration // Zero before the first move.
}

// AddCopy learns from the copy of a run of so many tokens.
func (h *Haul) AddCopy(tokens int64, took time.Duration) {
	if tokens > 0 {
		h.perToken = learn(h.copyOf(1), took/time.Duration(tokens))
	}
}

// AddPause learns from the time between the stop and the first event elsewhere.
func (h *Haul) AddPause(took time.Duration) { h.pause = learn(h.pauseTime(), took) }

// Cost returns how long a move of a run of so many tokens is expected to take.
func (h *Haul) Cost(tokens int64) time.Duration { return h.copyOf(tokens) + h.pauseTime() }

func (h *Haul) copyOf(tokens int64) time.Duration {
	per := h.perToken
	if per == 0 {
		per = defaultPerToken
	}
	return time.Duration(tokens) * per
}

func (h *Haul) pauseTime() time.Duration {
	if h.pause == 0 {
		return defaultPause
	}
	return h.pause
}

// learn stays above zero, which stands for nothing learned.
func learn(old, seen time.Duration) time.Duration {
	return max(old+time.Duration(learnRate*float64(seen-old)), 1)
}

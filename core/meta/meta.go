// Package meta describes a request of a route as its caller's header tells it.
package meta

import "time"

// Longest is the longest span that is taken from outside, and MostTokens the most
// tokens: no request needs more, and sums of a few stay within what can be counted.
const (
	Longest    = 365 * 24 * time.Hour
	MostTokens = 1 << 40
)

// Meta is what the header of a request says, whatever its names there.
type Meta struct {
	ID        string        // Of this attempt of the caller; empty when it names none.
	Deadline  time.Duration // How long the caller waits; zero for no limit.
	Prompt    int64         // Tokens of the prompt; zero for a plain request.
	Answer    int64         // Most tokens of the answer.
	Expect    int64         // The caller's estimate of the answer's tokens; zero for none.
	Model     string
	Parts     []Part // Of the prompt, in order; empty where the caller does not tell them.
	LastEvent string // The caller has the stream up to this event; empty for a new one.
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	Hash   uint64 // Of it and all parts before it.
	Tokens int64
}

// Tokens is the size of the answer to reckon with.
func (m *Meta) Tokens() int64 {
	if m.Expect > 0 && (m.Answer == 0 || m.Expect < m.Answer) {
		return m.Expect
	}
	return m.Answer
}

// Hop is what one upstream is told about a request.
type Hop struct {
	Instance  string // Id of the upstream that is meant; any other one refuses.
	Account   string // Client account; empty on a public route.
	Left      time.Duration
	LastEvent string // The stream goes on after this event; empty for a whole one.
}

// Package meta holds the metadata of a request, as parsed from its header.
package meta

import "time"

// MaxDuration is the longest duration, and MaxTokens the largest number of tokens, that is accepted from
// a caller. Sums of several of them do not overflow.
const (
	MaxDuration = 365 * 24 * time.Hour
	MaxTokens   = 1 << 40
)

// Meta is the metadata of a request, whatever its headers are called on the wire.
type Meta struct {
	ID       string        // Of this attempt of the caller; empty if it states none.
	Deadline time.Duration // Time for which the caller waits; zero for no limit.
	Prompt   int64         // Tokens of the prompt; zero for a plain request.
	Answer   int64         // Upper bound of the answer's tokens.
	Expect   int64         // Caller's estimate of the answer's tokens; zero for none.
	Model    string
	Parts    []Part // Of the prompt, in order; empty if the caller states none.
	// PartsCut is set if the caller's list of parts could not be read to its end.
	PartsCut  bool
	LastEvent string // ID of the last event that the caller has received; empty for a new stream.
	Resumes   string // ID of the caller's attempt that brought the stream's first event; empty if it states none.
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	Name   string // As the caller gave it, whatever parts come before it.
	Hash   uint64 // Of this part and all parts before it.
	Tokens int64
}

// Tokens returns the expected number of tokens of the answer.
func (m *Meta) Tokens() int64 {
	if m.Expect > 0 && (m.Answer == 0 || m.Expect < m.Answer) {
		return m.Expect
	}
	return m.Answer
}

// SharedParts returns the names of the parts that other requests may share: all but the last, which
// belongs to the request or its session.
func (m *Meta) SharedParts() []string {
	shared := m.Parts
	if !m.PartsCut && len(shared) > 0 {
		shared = shared[:len(shared)-1]
	}
	names := make([]string, 0, len(shared))
	for _, p := range shared {
		names = append(names, p.Name)
	}
	return names
}

// Hop holds the headers that are specific to one upstream.
type Hop struct {
	Instance  string        // ID of the addressed upstream; any other rejects the request.
	Account   string        // Name of the client account; empty on a public route.
	Left      time.Duration // Time until the caller's deadline.
	LastEvent string        // ID of the event after which the stream resumes; empty for the whole stream.
}

package recent

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
)

func TestSince(t *testing.T) {
	var r Recent
	start := time.Unix(1000, 0)
	nth := func(n int) digest.Digest {
		return digest.Of("", "", "", binary.BigEndian.AppendUint64(nil, uint64(n))) //nolint:gosec // Not negative.
	}
	must.False(t, r.AnsweredAfter(start, nth(0)))
	r.Add(start, nth(0))
	must.True(t, r.AnsweredAfter(start.Add(-time.Second), nth(0)))
	must.False(t, r.AnsweredAfter(start, nth(0)))
	r.Add(start.Add(time.Second), nth(0))
	must.True(t, r.AnsweredAfter(start, nth(0)))
	for n := range maxAnswers {
		r.Add(start.Add(time.Minute), nth(n+1))
	}
	must.False(t, r.AnsweredAfter(start, nth(0)))
	must.True(t, r.AnsweredAfter(start, nth(maxAnswers)))
	must.Eq(t, maxAnswers, len(r.at))
}

package state

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// Guards against bans that are missing from a snapshot, exceed MaxBans, or allow more tries than
// were left.
func TestBans(t *testing.T) {
	d := func(n int) []byte { d := digest.Of("a", "POST", strconv.Itoa(n), nil); return d[:] }
	var s State
	record := func(r *wire.RecordBans) string {
		return s.Apply(&wire.Command{Kind: &wire.Command_RecordBans{RecordBans: r}}).GetCode()
	}
	ban := func(n, tries int) *wire.Ban { return &wire.Ban{Digest: d(n), Tries: int32(tries)} }
	must.Eq(t, OK, record(&wire.RecordBans{Banned: []*wire.Ban{ban(1, 1), ban(2, 0)}}))
	must.Eq(t, OK, record(&wire.RecordBans{Banned: []*wire.Ban{ban(1, 0), ban(3, 0)}, Lifted: [][]byte{d(2), d(9)}}))
	must.Eq(t, Invalid, record(&wire.RecordBans{Banned: []*wire.Ban{{Digest: []byte("short")}}}))
	data, err := s.Save()
	must.NoError(t, err)
	_, revisionBefore := s.Bans()
	must.NoError(t, s.Load(data))
	list, revision := s.Bans()
	must.NotEq(t, revisionBefore, revision, must.Sprint("the revision changes with Load"))
	must.Len(t, 2, list)
	must.Eq(t, d(1), list[0].GetDigest())
	must.Eq(t, 1, list[0].GetTries())
	must.Eq(t, d(3), list[1].GetDigest())
	for n := range MaxBans + 5 {
		must.Eq(t, OK, record(&wire.RecordBans{Banned: []*wire.Ban{ban(100+n, 0)}}))
	}
	list, _ = s.Bans()
	must.Len(t, MaxBans, list)
	must.Eq(t, d(105), list[0].GetDigest())
}

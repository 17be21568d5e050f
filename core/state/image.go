package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// Save writes the state as an image. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	img := &wire.Image{Version: s.version, Change: s.change, Document: s.document, ClockUs: s.clock}
	for _, c := range s.claims {
		img.Claims = append(img.Claims, c)
	}
	slices.SortFunc(img.GetClaims(), func(a, b *wire.ClaimState) int {
		return cmp.Or(cmp.Compare(a.GetAccount(), b.GetAccount()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	for _, u := range slices.Sorted(maps.Keys(s.fences)) {
		img.Fences = append(img.Fences, &wire.FenceState{Upstream: u, Number: s.fences[u]})
	}
	for _, id := range s.order {
		img.Changes = append(img.Changes, &wire.ChangeState{Id: id, Result: s.results[id]})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(img)
	if err != nil {
		return nil, fmt.Errorf("state: save: %w", err)
	}
	return data, nil
}

// Load replaces the state by an image.
func (s *State) Load(data []byte) error {
	var img wire.Image
	if err := proto.Unmarshal(data, &img); err != nil {
		return fmt.Errorf("state: load: %w", err)
	}
	*s = State{
		version: img.GetVersion(), change: img.GetChange(), document: img.GetDocument(),
		claims: map[claimKey]*wire.ClaimState{}, fences: map[string]uint64{}, results: map[string]*wire.Result{},
		clock: img.GetClockUs(),
	}
	for _, c := range img.GetClaims() {
		k := claimKey{c.GetAccount(), c.GetKey()}
		s.claims[k] = c
		s.endsAt(k, c.GetExpiresUs())
	}
	for _, f := range img.GetFences() {
		s.fences[f.GetUpstream()] = f.GetNumber()
	}
	for _, c := range img.GetChanges() {
		s.results[c.GetId()] = c.GetResult()
		s.order = append(s.order, c.GetId())
	}
	return nil
}

package state

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// Image returns what the state is now, as messages that no later command
// changes. It costs a walk over the claims; Encode does the rest.
func (s *State) Image() *wire.Image {
	img := &wire.Image{Version: s.version, Change: s.change, Document: s.document, ClockUs: s.clock, Orders: s.orders.Save()}
	img.Published, img.Publication, img.Roster = s.published, s.publication, s.roster.Save()
	img.Bans = s.bans.list
	for _, c := range s.claims {
		img.Claims = append(img.Claims, c)
	}
	for _, id := range s.ids {
		img.Changes = append(img.Changes, &wire.ChangeState{Id: id, Result: s.results[id]})
	}
	return img
}

// Save is Image and Encode in one, for a state that is at rest.
func (s *State) Save() ([]byte, error) { return EncodeImage(s.Image()) }

// EncodeImage writes an image. Equal states give equal bytes.
func EncodeImage(img *wire.Image) ([]byte, error) {
	slices.SortFunc(img.GetClaims(), func(a, b *wire.ClaimState) int {
		return cmp.Or(cmp.Compare(a.GetAccount(), b.GetAccount()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(img)
	if err != nil {
		return nil, fmt.Errorf("state: encode: %w", err)
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
		claims: map[claimKey]*wire.ClaimState{}, results: map[string]*wire.Result{},
		clock: img.GetClockUs(), published: img.GetPublished(), publication: img.GetPublication(),
		bans: bans{list: img.GetBans(), revision: s.bans.revision + 1},
	}
	s.roster.Load(img.GetRoster())
	for _, c := range img.GetClaims() {
		k := claimKey{c.GetAccount(), c.GetKey()}
		s.claims[k] = c
		s.endsAt(k, c.GetExpiresUs())
	}
	s.orders.Load(img.GetOrders())
	for _, c := range img.GetChanges() {
		s.results[c.GetId()] = c.GetResult()
		s.ids = append(s.ids, c.GetId())
	}
	return nil
}

package state

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// Image returns the current state as a message that later commands do not modify. It takes time
// linear in the number of claims; EncodeImage does the rest of the work.
func (s *State) Image() *wire.Image {
	img := &wire.Image{Version: s.configVersion, Change: s.changeID, Document: s.configDocument, ClockUs: s.clockUs, Orders: s.orders.Save()}
	img.Published, img.Publication, img.Roster = s.publicationVersion, s.publication, s.roster.Save()
	img.Bans = s.bans.list
	img.Rollouts, img.PoolVersions = s.deploy.Rollouts(), s.deploy.Versions()
	img.Cordons, img.CordonRevision = s.cordons.List(), s.cordons.Revision()
	img.FormerVersions = s.FormerVersions()
	for _, c := range s.claims {
		img.Claims = append(img.Claims, c)
	}
	for _, id := range s.changeIDs {
		img.Changes = append(img.Changes, &wire.ChangeState{Id: id, Result: s.changeResults[id]})
	}
	return img
}

// Save returns the encoded image of a state that no command modifies during the call.
func (s *State) Save() ([]byte, error) { return EncodeImage(s.Image()) }

// EncodeImage sorts the claims of an image and returns it in its stored form. Equal states have
// equal encodings.
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

// Load replaces the state by an encoded image. It returns an error, and leaves the state as it is,
// if the image can't be decoded.
func (s *State) Load(data []byte) error {
	var img wire.Image
	if err := proto.Unmarshal(data, &img); err != nil {
		return fmt.Errorf("state: load: %w", err)
	}
	deployed := s.deploy
	*s = State{
		configVersion: img.GetVersion(), changeID: img.GetChange(), configDocument: img.GetDocument(),
		claims: map[claimKey]*wire.ClaimState{}, changeResults: map[string]*wire.Result{},
		clockUs: img.GetClockUs(), publicationVersion: img.GetPublished(), publication: img.GetPublication(),
		bans: bans{list: img.GetBans(), revision: s.bans.revision + 1},
	}
	s.roster.Load(img.GetRoster())
	s.deploy = deployed // Its revision goes on.
	s.deploy.Load(img.GetRollouts(), img.GetPoolVersions())
	s.cordons.Load(img.GetCordons(), img.GetCordonRevision())
	s.loadVersions(img.GetFormerVersions())
	for _, c := range img.GetClaims() {
		k := claimKey{c.GetAccount(), c.GetKey()}
		s.claims[k] = c
		s.scheduleExpiry(k, c.GetExpiresUs())
	}
	s.orders.Load(img.GetOrders())
	for _, c := range img.GetChanges() {
		s.changeResults[c.GetId()] = c.GetResult()
		s.changeIDs = append(s.changeIDs, c.GetId())
	}
	return nil
}

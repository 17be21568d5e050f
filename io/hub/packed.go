package hub

import (
	"bytes"
	"compress/flate"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

const (
	// maxRosterChanges is the number of changes after which the whole roster is packed anew, and
	// rosterChangeShare the share of the roster, if that is more.
	maxRosterChanges  = 64
	rosterChangeShare = 8
)

// packed holds what all entries need whole, compressed once for all of them: with hundreds of routes
// a document has some hundred KB, as has the roster of a few thousand upstreams, and after a restart
// of the deployment all entries ask for both at once. The zero value is ready.
type packed struct {
	mu       sync.Mutex
	version  uint64
	doc      []byte
	revision uint64 // Of the roster in roster.
	size     int    // Number of upstreams in roster.
	roster   []byte
}

// document returns the document of a version in compressed form.
func (p *packed) document(version uint64, doc []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version {
		return p.doc, nil
	}
	data, err := compress(doc)
	if err != nil {
		return nil, fmt.Errorf("hub: compress document: %w", err)
	}
	p.version, p.doc = version, data
	return data, nil
}

// addRoster adds the whole roster to n, as a compressed one and the changes since then.
func (p *packed) addRoster(r replica, n *wire.News) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.Whole = true
	if p.revision > 0 {
		changes, whole, revision := r.Roster(p.revision)
		if !whole && len(changes) <= max(maxRosterChanges, p.size/rosterChangeShare) {
			n.Base, n.Roster, n.Revision = p.roster, changes, revision
			return nil
		}
	}
	list, _, revision := r.Roster(0)
	doc, err := proto.Marshal(&wire.News{Roster: list})
	if err != nil {
		return fmt.Errorf("hub: encode roster: %w", err)
	}
	data, err := compress(doc)
	if err != nil {
		return fmt.Errorf("hub: compress roster: %w", err)
	}
	p.revision, p.size, p.roster = revision, len(list), data
	n.Base, n.Roster, n.Revision = data, nil, revision
	return nil
}

func compress(doc []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("flate: %w", err)
	}
	if _, err := w.Write(doc); err != nil {
		return nil, fmt.Errorf("flate: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("flate: %w", err)
	}
	return buf.Bytes(), nil
}

package hub

import (
	"context"
	"time"

	"azurelane/core/wire"
)

// relayMaxSilence is the time without word from the leader after which a replica passes nothing on: its log may lack what
// was acknowledged since.
const relayMaxSilence = 500 * time.Millisecond

// handleRelay answers an entry that asks for the configuration and the roster of this replica's log, whichever replica
// leads. A poll that waits is answered without either as soon as there is a newer configuration, as the scheduler
// usually sends it at the same time. One that doesn't wait gets all that the entry lacks.
func (h *Hub) handleRelay(ctx context.Context, w *wire.Watch) (*wire.News, error) {
	end := time.NewTimer(micros(w.GetWaitUs()))
	defer end.Stop()
	for ended := false; ; {
		changed := h.Replica.Changed()
		term, leader, silence := h.Replica.Following()
		if leader == "" || silence > relayMaxSilence {
			return nil, &wire.Fault{Code: codeUnready, Text: "hub: this replica hears no leader"}
		}
		// Read after the silence was, so that the log is not older than it says.
		n := &wire.News{Term: term, LeaderAddress: leader, SilenceUs: silence.Microseconds()}
		var doc []byte
		n.Version, doc = h.Replica.Publication()
		n.Revision = h.Replica.RosterRevision()
		if w.GetWaitUs() == 0 {
			return h.addLacking(w, n, doc)
		}
		if ended || n.GetVersion() > w.GetVersion() {
			return n, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end.C:
			ended = true
		case <-changed:
		}
	}
}

// addLacking adds to n what the entry lacks of the configuration and the roster.
func (h *Hub) addLacking(w *wire.Watch, n *wire.News, doc []byte) (*wire.News, error) {
	if err := h.addDocument(w, n, doc); err != nil {
		return nil, err
	}
	_, all, _ := h.Replica.Group()
	for _, p := range all {
		n.Replicas = append(n.Replicas, p.GetAddress())
	}
	switch n.Revision = h.Replica.RosterRevision(); {
	case w.GetRevision() >= n.GetRevision():
		return n, nil
	case w.GetRevision() > 0:
		if n.Roster, n.Whole, n.Revision = h.Replica.Roster(w.GetRevision()); !n.GetWhole() {
			return n, nil
		}
	}
	return n, h.packed.addRoster(h.Replica, n)
}

// addDocument adds the document of n's version if the entry has an older one.
func (h *Hub) addDocument(w *wire.Watch, n *wire.News, doc []byte) error {
	if n.GetVersion() <= w.GetVersion() {
		return nil
	}
	data, err := h.packed.document(n.GetVersion(), doc)
	if err != nil {
		return err
	}
	n.Document = data
	return nil
}

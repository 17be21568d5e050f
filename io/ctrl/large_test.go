package ctrl

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/state"
	"azurelane/core/wire"
)

const (
	largeDocument = 1 << 20  // Bytes.
	maxLargeLog   = 24 << 20 // Bytes of a log of such documents, in memory and on disk.
)

func publication(version uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: version, Document: make([]byte, largeDocument)}}}
}

// Guards against control replicas that many changes of a large configuration bring down: the log keeps
// hundreds of documents, in memory and on disk, and is written anew after each change.
func TestLogOfLargeDocuments(t *testing.T) {
	const changes = 150
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		for i := range changes {
			must.Eq(t, state.OK, command(t, l, publication(uint64(i+1))).GetCode())
			time.Sleep(tickEvery)
			for _, a := range n.addrs {
				must.Less(t, maxLargeLog, n.at(a).store.Size())
			}
		}
		for _, a := range n.addrs {
			r := n.at(a)
			must.Less(t, changes/5, r.store.puts)
			r = r.restart()
			n.leader(nil)
			size := 0
			for _, rec := range r.store.recs {
				size += proto.Size(rec)
			}
			must.Less(t, maxLargeLog, size)
		}
		v, doc := n.leader(nil).Publication()
		must.Eq(t, changes, v)
		must.Eq(t, largeDocument, len(doc))
	})
}

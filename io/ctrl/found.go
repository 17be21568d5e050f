package ctrl

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/raft"
	"azurelane/core/wire"
	"azurelane/io/disk"
)

const (
	askEvery = 500 * time.Millisecond
	askLimit = time.Second
)

// errExists is why a replica that was told to found a group does not.
var errExists = errors.New("ctrl: a group exists already")

// found starts a new group once every other replica of the settings has
// answered that it is empty too.
//
// A replica whose disk was replaced looks like one that starts for the first
// time. If it founded a group by itself, entries would find an empty
// configuration and free claims there, and run requests twice. The others know
// of the old group, so one that answers is enough to prevent it, and while one
// is silent nothing is founded. Should two replicas be told to found at once,
// the lower address does; and as a replica belongs to one group for good, two
// groups of the same replicas could never both have a quorum.
func (c *Ctrl) found(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.askOthers(ctx)
		if errors.Is(err, errExists) {
			c.Log.Info("No group founded: one exists. An operator must add this replica.", "identity", c.id)
			return
		}
		if err == nil {
			if err := c.do(ctx, func(now time.Time) raft.Effects { return c.founded(now, list) }); err == nil {
				return
			}
		}
		c.Log.V(1).Info("Waits to found a group.", "err", fmt.Sprint(err))
		select {
		case <-ctx.Done():
		case <-c.done:
			return
		case <-time.After(askEvery):
		}
	}
}

func (c *Ctrl) askOthers(ctx context.Context) ([]*wire.Replica, error) {
	list := []*wire.Replica{{Id: c.id, Address: c.Address.String(), Voter: true, DataCentre: c.Centre}}
	for _, to := range c.Control {
		if to == c.Address {
			continue
		}
		s, err := c.ask(ctx, to)
		if err != nil {
			return nil, err
		}
		if s.GetGroup() != "" {
			return nil, fmt.Errorf("%w: %s belongs to it", errExists, to)
		}
		if s.GetBootstrap() && to.Compare(c.Address) < 0 {
			return nil, fmt.Errorf("ctrl: %s is to found it", to)
		}
		list = append(list, &wire.Replica{Id: s.GetIdentity(), Address: to.String(), Voter: true, DataCentre: s.GetDataCentre()})
	}
	return list, nil
}

func (c *Ctrl) ask(ctx context.Context, to netip.AddrPort) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	f, err := c.Sender.Call(ctx, to, &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}})
	if err != nil {
		return nil, fmt.Errorf("ctrl: ask %s: %w", to, err)
	}
	return f.GetStatus(), nil
}

// founded makes the group's first snapshot, with all replicas as voters. The
// others get it like any replica that lags.
func (c *Ctrl) founded(now time.Time, list []*wire.Replica) raft.Effects {
	if c.raft.Group() != "" {
		return raft.Effects{}
	}
	data, err := proto.Marshal(&wire.Image{Version: c.After})
	if err != nil {
		return raft.Effects{Err: fmt.Errorf("ctrl: marshal image: %w", err)}
	}
	snap := raft.BootstrapSnapshot(uuid.NewString(), list, data)
	if err := c.store.Compact(snap); errors.Is(err, disk.ErrFull) {
		c.Log.Error(err, "No group founded yet.")
		return raft.Effects{}
	} else if err != nil {
		return raft.Effects{Err: err}
	}
	if err := c.load(snap); err != nil {
		return raft.Effects{Err: err}
	}
	c.start(now, snap, nil)
	c.Log.Info("Group founded.", "group", snap.GetGroup(), "replicas", len(list))
	return raft.Effects{}
}

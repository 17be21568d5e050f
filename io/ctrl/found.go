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
	foundRetry   = 500 * time.Millisecond
	queryTimeout = time.Second
)

// errExists is returned when another replica belongs to a group already.
var errExists = errors.New("ctrl: a group exists already")

// foundGroup starts a new group once all other replicas of the settings have replied that they are
// empty too.
//
// A replica whose disk was replaced can't be distinguished from one that starts for the first time.
// If it founded a group by itself, entries would get an empty configuration and free claims from
// it, and run requests twice. The other replicas know the old group: a single reply prevents the
// new one, and nothing is founded while a reply is missing. If two replicas are told to found a
// group at the same time, the one with the lower address does. A replica never changes its group,
// so two groups of the same replicas can't both have a quorum.
func (c *Ctrl) foundGroup(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.queryOthers(ctx)
		if errors.Is(err, errExists) {
			c.Log.Info("Group not founded: another one exists. An operator must add this replica to it.", "identity", c.id)
			return
		}
		if err == nil {
			if err := c.do(ctx, func(now time.Time) raft.Effects { return c.createGroup(now, list) }); err == nil {
				return
			}
		}
		c.Log.V(1).Info("Waiting to found a group.", "err", fmt.Sprint(err))
		select {
		case <-ctx.Done():
		case <-c.done:
			return
		case <-time.After(foundRetry):
		}
	}
}

func (c *Ctrl) queryOthers(ctx context.Context) ([]*wire.Replica, error) {
	list := []*wire.Replica{{Id: c.id, Address: c.Address.String(), Voter: true, DataCentre: c.Centre}}
	for _, to := range c.Control {
		if to == c.Address {
			continue
		}
		s, err := c.queryStatus(ctx, to)
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

func (c *Ctrl) queryStatus(ctx context.Context, to netip.AddrPort) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	f, err := c.Sender.Call(ctx, to, &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}})
	if err != nil {
		return nil, fmt.Errorf("ctrl: ask %s: %w", to, err)
	}
	return f.GetStatus(), nil
}

// createGroup creates the group's first snapshot, with all replicas as voters. The other replicas
// receive it like any replica that lags behind.
func (c *Ctrl) createGroup(now time.Time, list []*wire.Replica) raft.Effects {
	if c.raft.Group() != "" {
		return raft.Effects{}
	}
	data, err := proto.Marshal(&wire.Image{Version: c.After})
	if err != nil {
		return raft.Effects{Err: fmt.Errorf("ctrl: marshal image: %w", err)}
	}
	snap := raft.BootstrapSnapshot(uuid.NewString(), list, data)
	if err := c.store.Compact(snap); errors.Is(err, disk.ErrFull) {
		c.Log.Error(err, "Group not founded yet.")
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

package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"

	"azurelane/core/acct"
	"azurelane/core/codec"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/state"
	"azurelane/core/tier"
	"azurelane/core/wire"
	"azurelane/io/leader"
	"azurelane/io/mesh"
	"azurelane/io/rig/demand"
)

const maxWaiting = 150 // Of one account, so that overload meets the limit.

// apply puts the configuration of a measurement in force: one pool with the
// policy and preset, and the workload's client accounts and tiers.
func apply(ctx context.Context, control netip.AddrPort, policy, preset string, d *demand.Demand) error {
	cfg := conf.Config{
		Accounts: map[string]acct.Account{}, Tiers: map[string]tier.Tier{},
		Pools: map[string]pool.Pool{poolName: {Models: []string{d.Model}, Scheduler: policy, Preset: preset}},
	}
	for _, a := range d.Accounts {
		sum := sha256.Sum256([]byte(a.Name + "-key"))
		cfg.Accounts[a.Name] = acct.Account{KeySHA256: hex.EncodeToString(sum[:]), MaxWaiting: maxWaiting, MaxConnections: 1 << 16, MaxOpenBodyBytes: 1 << 30}
	}
	for _, k := range d.Kinds {
		cfg.Tiers[k.Tier] = tier.Tier{Level: k.Level}
	}
	base, err := codec.Write(cfg)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	m := &mesh.Mesh{Handle: func(context.Context, *wire.Frame) (*wire.Frame, error) { return nil, &wire.Fault{Code: "unsupported"} }}
	defer m.Close()
	l := &leader.Leader{Replicas: []netip.AddrPort{control}, Caller: m}
	r, err := l.Propose(ctx, &wire.Command{Id: "bench", Kind: &wire.Command_Change{Change: &wire.Change{
		Document: fmt.Appendf(nil, `{"base":%s,"overlays":{}}`, base), Author: "bench",
	}}})
	if err != nil {
		return fmt.Errorf("bench: apply: %w", err)
	}
	if r.GetCode() != state.OK {
		return fmt.Errorf("bench: apply: %s: %s", r.GetCode(), r.GetText())
	}
	return nil
}

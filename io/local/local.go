// Package local reads the settings of a process in a deployment that forms by itself: an entry for routes, or a
// control replica that maintains its group.
package local

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/codec"
	"azurelane/core/keys"
)

// ErrInvalid is returned for settings that can be parsed but not used.
var ErrInvalid = errors.New("local: invalid settings")

// Local holds the settings of a process. Keys describes them.
type Local struct {
	Node        string           `json:"node"`
	Centre      string           `json:"data-centre"`
	Centres     []string         `json:"data-centres"`
	Callers     string           `json:"callers,omitzero"` // Addresses may be empty, depending on the role.
	Ready       string           `json:"ready,omitzero"`
	Calls       string           `json:"calls,omitzero"`
	Peers       netip.AddrPort   `json:"peers"`
	PeersListen netip.AddrPort   `json:"peers-listen,omitzero"`
	Metrics     string           `json:"metrics,omitzero"`
	Tunnel      netip.AddrPort   `json:"tunnel,omitzero"`
	Source      netip.Addr       `json:"upstream-source,omitzero"`
	Seeds       []netip.AddrPort `json:"seeds"`
	DataFolder  string           `json:"data-folder,omitzero"`
	Bootstrap   bool             `json:"bootstrap,omitzero"`
	Losses      int              `json:"losses,omitzero"`
	CatchUp     time.Duration    `json:"catch-up,omitzero"`
	Announce    time.Duration    `json:"announce-every,omitzero"`
	DrainLimit  time.Duration    `json:"drain-limit,omitzero"`
	RetryRatio  float64          `json:"retry-ratio,omitzero"`
	RetrySlack  float64          `json:"retry-slack,omitzero"`
	Overage     float64          `json:"quota-overage,omitzero"`
	QuotaSlack  float64          `json:"quota-slack,omitzero"`
	// RolloutShare and RolloutSlack limit the requests that a bad version gets in a rollout.
	RolloutShare   float64       `json:"rollout-share,omitzero"`
	RolloutSlack   float64       `json:"rollout-slack,omitzero"`
	RollbackWithin time.Duration `json:"rollback-within,omitzero"`
	HoldVersions   bool          `json:"hold-versions,omitzero"`
	UpstreamDrain  time.Duration `json:"upstream-drain,omitzero"`
	DeferFrom      time.Duration `json:"defer-from,omitzero"`
	MemoryMB       int64         `json:"memory-mb,omitzero"`
	LogLevel       int           `json:"log-level,omitzero"`
	settingFile    string
}

// wantSpan is what settings of time take.
const wantSpan = "a span"

// Defaults of missing settings.
const (
	DefaultCatchUp    = 4 * time.Second
	DefaultAnnounce   = 1200 * time.Millisecond
	DefaultDrainLimit = 8 * time.Second

	DefaultRolloutShare   = 0.1
	DefaultRolloutSlack   = 50 // Requests.
	DefaultRollbackWithin = 5 * time.Second
)

const (
	addrWant  = "an address IP:PORT"
	limitWant = "a number of 0 or more"
)

// Keys returns the settings for operators.
func Keys() []keys.Key {
	return []keys.Key{
		{Path: "/node", Want: "a name", Text: "Name of this process in logs and to its peers."},
		{Path: "/data-centre", Want: "a name", Text: "Where it runs."},
		{Path: "/data-centres", Want: "names", Text: "All data centres of the deployment."},
		{Path: "/callers", Want: addrWant, Text: "Where an entry takes requests."},
		{Path: "/ready", Want: addrWant, Text: "Where an entry answers whether callers should be sent to it."},
		{Path: "/calls", Want: addrWant, Text: "Where control takes calls of upstreams and operators."},
		{Path: "/peers", Want: addrWant, Text: "For links between processes; the port is the same on all VMs."},
		{Path: "/peers-listen", Want: addrWant, Default: "that of /peers", Text: "Where such links are taken, if a forwarder stands at the address of /peers."},
		{Path: "/metrics", Want: addrWant, Text: "Where metrics and health are served; none when empty."},
		{Path: "/tunnel", Want: addrWant, Text: "Where an entry passes connections to upstreams on for entries that reach none; none when empty."},
		{Path: "/upstream-source", Want: "an address IP", Default: "the system's choice", Text: "Of a VM with several addresses, the one that connections to upstreams come from."},
		{Path: "/seeds", Want: "addresses IP:PORT", Text: "Some control replicas; their ports are not used. Read again whenever the file changes."},
		{Path: "/data-folder", Want: "a folder", Text: "Of a control replica."},
		{Path: "/bootstrap", Want: "true or false", Default: "false", Text: "The deployment starts for the first time: the seeds found the group."},
		{Path: "/losses", Want: limitWant, Default: "0", Text: "Control replicas that may be lost with their disks at once; twice as many and one vote."},
		{Path: "/catch-up", Want: wantSpan, Default: DefaultCatchUp.String(), Text: "Within it a lost replica is replaced by a live one."},
		{Path: "/announce-every", Want: wantSpan, Default: DefaultAnnounce.String(), Text: "Between two announcements of an upstream."},
		{Path: "/drain-limit", Want: wantSpan, Default: DefaultDrainLimit.String(), Text: "After SIGTERM the process ends within it."},
		{Path: "/retry-ratio", Want: limitWant, Default: "0", Text: "Part of a pool's requests that may be sent to a second upstream, over all entries."},
		{Path: "/retry-slack", Want: limitWant, Default: "0", Text: "Second sends beyond that, over all entries."},
		{Path: "/quota-overage", Want: limitWant, Default: "0", Text: "Part of an account's rate and burst that may pass beyond them, over all entries."},
		{Path: "/quota-slack", Want: limitWant, Default: "0", Text: "Units of an account that may pass beyond that within its window."},
		{Path: "/rollout-share", Want: limitWant, Default: fmt.Sprint(DefaultRolloutShare), Text: "Part of a pool's requests that a bad version may get during a rollout, over all entries."},
		{Path: "/rollout-slack", Want: limitWant, Default: strconv.Itoa(DefaultRolloutSlack), Text: "Requests that it may get beyond that."},
		{Path: "/rollback-within", Want: wantSpan, Default: DefaultRollbackWithin.String(), Text: "Within it a version that has shown to be bad gets no more requests."},
		{Path: "/hold-versions", Want: "true or false", Default: "false", Text: "Upstreams of another version than their pool's get no requests unless a rollout brings it. Without it that holds from a pool's first rollout on."},
		{Path: "/upstream-drain", Want: wantSpan, Default: "0s", Text: "How long an upstream serves on after its leaving was acknowledged. Meanwhile it gets streams that no other upstream of its version is left to go on with."},
		{Path: "/defer-from", Want: wantSpan, Default: "0s", Text: "Control: a pool of which at least half of the routes, in pools with streams of the streaming ones, leave at least this long between objective and timeout gets `late-service`, `fair-shares` and `timed-returns`, unless the configuration says otherwise; 0 for none."},
		{Path: "/memory-mb", Want: limitWant, Default: "0", Text: "The process is to stay well below it; 0 for no limit."},
		{Path: "/log-level", Want: limitWant, Default: "0", Text: "1 adds a line for each whole answer."},
	}
}

// Load reads a settings file. Errors name the file and the key.
func Load(path string) (*Local, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("local: read: %w", err)
	}
	n := Local{
		CatchUp: DefaultCatchUp, Announce: DefaultAnnounce, DrainLimit: DefaultDrainLimit, settingFile: path,
		RolloutShare: DefaultRolloutShare, RolloutSlack: DefaultRolloutSlack, RollbackWithin: DefaultRollbackWithin,
	}
	if err := codec.Read(data, &n); err != nil {
		if text, ok := keys.Explain(Keys(), err); ok {
			return nil, fmt.Errorf("%w: %s: %s", ErrInvalid, path, text)
		}
		return nil, fmt.Errorf("local: %s: %w", path, err)
	}
	return &n, n.check()
}

func (n *Local) check() error {
	switch {
	case n.Node == "":
		return fmt.Errorf("%w: %s: /node: expected a name", ErrInvalid, n.settingFile)
	case n.Losses < 0 || n.RetryRatio < 0 || n.RetrySlack < 0 || n.Overage < 0 || n.QuotaSlack < 0 || n.RolloutShare < 0 || n.RolloutSlack < 0 || n.MemoryMB < 0 || n.DeferFrom < 0:
		return fmt.Errorf("%w: %s: expected limits of 0 or more", ErrInvalid, n.settingFile)
	case n.CatchUp <= 0 || n.Announce <= 0 || n.DrainLimit <= 0 || n.RollbackWithin <= 0:
		return fmt.Errorf("%w: %s: expected spans over 0", ErrInvalid, n.settingFile)
	}
	return nil
}

// ListenPeers returns the address at which links of other processes are accepted.
func (n *Local) ListenPeers() netip.AddrPort {
	if n.PeersListen.IsValid() {
		return n.PeersListen
	}
	return n.Peers
}

// SeedPeers returns the peer addresses of the seeds.
func (n *Local) SeedPeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range n.Seeds {
		list = append(list, netip.AddrPortFrom(s.Addr(), n.Peers.Port()))
	}
	return list
}

// Reread returns the current settings of the file, or the previous ones and an error if it can't be read.
func (n *Local) Reread() (*Local, error) {
	now, err := Load(n.settingFile)
	if err != nil {
		return n, err
	}
	return now, nil
}

// Founds reports whether this process is a seed.
func (n *Local) Founds() bool {
	for _, s := range n.SeedPeers() {
		if s == n.Peers {
			return true
		}
	}
	return false
}

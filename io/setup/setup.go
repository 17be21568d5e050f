// Package setup reads the settings of one process.
package setup

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"azurelane/core/codec"
	"azurelane/io/trace"
)

// ErrInvalid marks settings that parse but can't be used.
var ErrInvalid = errors.New("setup: invalid")

// Setup holds where a process stands and whom it talks to. What it serves
// stands in the configuration that control keeps.
type Setup struct {
	Node       string           `json:"node"`                 // Name of the VM, unique in the deployment.
	DataCentre string           `json:"data-centre"`          // The site whose overlay applies.
	Callers    netip.AddrPort   `json:"callers,omitzero"`     // Entry: HTTP for callers.
	Upstreams  netip.AddrPort   `json:"upstreams,omitzero"`   // Entry: HTTP for upstreams that announce themselves.
	Peers      netip.AddrPort   `json:"peers"`                // Links between azurelane processes.
	Operator   netip.AddrPort   `json:"operator"`             // HTTP for operators: metrics, health, status.
	Control    []netip.AddrPort `json:"control"`              // Peer addresses of the control replicas.
	Seeds      []netip.AddrPort `json:"seeds,omitempty"`      // Entry: peer addresses of entries in its data centre.
	DataFolder string           `json:"data-folder,omitzero"` // Control: folder of the log.
	LogFormat  string           `json:"log-format,omitzero"`  // text or json.
	LogLevel   int              `json:"log-level,omitzero"`   // 0, or 1 for detail.
	Trace      trace.Trace      `json:"trace,omitzero"`       // Where spans go.

	Bootstrap bool   `json:"-"` // Control, by a flag: found a group if all replicas are empty.
	After     uint64 `json:"-"` // Control, by a flag: configuration version that a new group goes on from.
}

// Load reads a settings file. Errors name the file, the key and what was
// expected.
func Load(path string) (*Setup, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setup: read: %w", err)
	}
	var s Setup
	if err := codec.Read(data, &s); err != nil {
		return nil, fmt.Errorf("setup: %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("setup: %s: %w", path, err)
	}
	return &s, nil
}

// Check reports the first rule that the settings break.
func (s *Setup) Check() error {
	switch {
	case s.Node == "":
		return fmt.Errorf("%w: /node: expected a name", ErrInvalid)
	case s.DataCentre == "":
		return fmt.Errorf("%w: /data-centre: expected a name", ErrInvalid)
	case !s.Peers.IsValid():
		return fmt.Errorf("%w: /peers: expected an IP address with a port", ErrInvalid)
	case len(s.Control) == 0:
		return fmt.Errorf("%w: /control: expected at least one address", ErrInvalid)
	case s.LogFormat != "" && s.LogFormat != "text" && s.LogFormat != "json":
		return fmt.Errorf("%w: /log-format: expected text or json", ErrInvalid)
	}
	return nil
}

// Print writes the settings in full.
func (s *Setup) Print() (string, error) {
	data, err := codec.Print(s)
	if err != nil {
		return "", fmt.Errorf("setup: print: %w", err)
	}
	return string(data), nil
}

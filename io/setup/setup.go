// Package setup reads the settings of one process.
package setup

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/codec"
	"azurelane/core/keys"
	"azurelane/io/certs"
	"azurelane/io/trace"
)

// ErrInvalid marks settings that parse but can't be used.
var ErrInvalid = errors.New("setup: invalid")

// Roles of processes.
const (
	Entry   = "entry"
	Control = "control"
)

// Setup holds where a process stands and whom it talks to. What it serves
// stands in the configuration that control keeps. The keys' meanings stand in
// the rules.
type Setup struct {
	Node          string           `json:"node"`
	DataCentre    string           `json:"data-centre"`
	Callers       netip.AddrPort   `json:"callers,omitzero"`
	Upstreams     netip.AddrPort   `json:"upstreams,omitzero"`
	Peers         netip.AddrPort   `json:"peers"`
	Operator      netip.AddrPort   `json:"operator"`
	Control       []netip.AddrPort `json:"control"`
	Seeds         []netip.AddrPort `json:"seeds,omitempty"`
	DataFolder    string           `json:"data-folder,omitzero"`
	DrainLimit    time.Duration    `json:"drain-limit,omitzero"`
	DrainLinger   *time.Duration   `json:"drain-linger,omitempty"` // Nil takes the default, zero is none.
	LogFormat     string           `json:"log-format,omitzero"`
	LogLevel      int              `json:"log-level"`
	Trace         trace.Trace      `json:"trace,omitzero"`
	TLS           certs.Certs      `json:"tls,omitzero"`
	OperatorToken string           `json:"operator-token-sha256,omitzero"`

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
		return nil, fmt.Errorf("setup: %s: %w", path, explain(err))
	}
	s = s.WithDefaults()
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("setup: %s: %w", path, err)
	}
	return &s, nil
}

// explain says at which key a document could not be read and what was expected there.
func explain(err error) error {
	if text, ok := keys.Explain(Keys(), err); ok {
		return fmt.Errorf("%w: %s", ErrInvalid, text)
	}
	return err
}

// Role is what the settings are for.
func (s *Setup) Role() string {
	if s.Callers.IsValid() || s.Upstreams.IsValid() {
		return Entry
	}
	return Control
}

// For reports an error unless the settings are for that role.
func (s *Setup) For(role string) error {
	if s.Role() != role {
		return fmt.Errorf("%w: these are settings of %s, not of %s", ErrInvalid, s.Role(), role)
	}
	return nil
}

// Check reports the first rule that the settings break.
func (s *Setup) Check() error {
	for _, r := range rules {
		if !r.ok(s) {
			return fmt.Errorf("%w: %s: expected %s", ErrInvalid, r.Path, r.Want)
		}
	}
	return nil
}

// Print writes the settings in full, defaults among them.
func (s *Setup) Print() (string, error) {
	data, err := codec.Print(s.WithDefaults())
	if err != nil {
		return "", fmt.Errorf("setup: print: %w", err)
	}
	return string(data), nil
}

// Package sites merges a base document with the overlays of sites.
package sites

import (
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"azurelane/core/codec"
	"azurelane/core/conf"
	"azurelane/core/kernel"
)

// MaxBytes is the maximum size of a document in bytes. All entries fetch each version within about a second.
const MaxBytes = 1 << 20

// ErrTooLong is returned for a document larger than MaxBytes.
var ErrTooLong = errors.New("sites: document too long")

// Set is a complete configuration: a base document and an overlay for each site, a JSON merge patch (RFC 7386)
// of the base.
type Set struct {
	Base     jsontext.Value            `json:"base"`
	Overlays map[string]jsontext.Value `json:"overlays"`
}

// Parse parses a set and checks the merged document of each site, so that a change that is invalid for one site
// is refused.
func Parse(doc []byte) (*Set, error) {
	if len(doc) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes: expected %d at most", ErrTooLong, len(doc), MaxBytes)
	}
	var s Set
	if err := codec.Read(doc, &s); err != nil {
		return nil, fmt.Errorf("sites: parse: %w", err)
	}
	for _, site := range s.all() {
		if _, err := s.For(site); err != nil {
			return nil, err
		}
	}
	return &s, nil
}

// Served returns an error if a pool of any site has a policy that this program does not implement. It is called
// before a change is accepted and not when one is read, because an entry with an older program still serves
// other pools.
func (s *Set) Served() error {
	for _, site := range s.all() {
		cfg, err := s.For(site)
		if err == nil {
			err = kernel.Check(cfg)
		}
		if err != nil {
			return fmt.Errorf("sites: site %q: %w", site, err)
		}
	}
	return nil
}

// Sites returns the sites with an overlay, sorted.
func (s *Set) Sites() []string { return slices.Sorted(maps.Keys(s.Overlays)) }

// all returns the sites with an overlay, after the empty name for all others.
func (s *Set) all() []string { return append([]string{""}, s.Sites()...) }

// For returns the configuration of a site, which is the base for the empty name and sites without an overlay.
func (s *Set) For(site string) (*conf.Config, error) {
	doc := []byte(s.Base)
	if over, ok := s.Overlays[site]; ok {
		merged, err := jsonpatch.MergePatch(doc, over)
		if err != nil {
			return nil, fmt.Errorf("sites: merge overlay of %s: %w", site, err)
		}
		doc = merged
	}
	cfg, err := conf.Parse(doc)
	if err != nil {
		return nil, fmt.Errorf("sites: site %q: %w", site, err)
	}
	return cfg, nil
}

// Bytes encodes the set as one document.
func (s *Set) Bytes() ([]byte, error) {
	doc, err := codec.Write(s)
	if err != nil {
		return nil, fmt.Errorf("sites: write: %w", err)
	}
	return doc, nil
}

// Package sites merges one base document with the overlay of each site.
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

// MaxBytes bounds a document. Every entry fetches each version, all within
// about a second.
const MaxBytes = 1 << 20

// ErrTooLong marks a document over MaxBytes.
var ErrTooLong = errors.New("sites: document too long")

// Set is the whole configuration: one base and one overlay a site. An overlay
// is a JSON merge patch (RFC 7386) on the base.
type Set struct {
	Base     jsontext.Value            `json:"base"`
	Overlays map[string]jsontext.Value `json:"overlays"`
}

// Parse reads a set and checks every site's merged result, so that a change
// that would break one site is refused for all.
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

// Served reports a pool whose policy this program does not have, at any site.
// It is asked before a change is accepted, and not when one is read: an entry of
// an older program still serves its other pools.
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

// Sites lists the sites that have an overlay, sorted.
func (s *Set) Sites() []string { return slices.Sorted(maps.Keys(s.Overlays)) }

// all is every site with an overlay, after the empty name for those without.
func (s *Set) all() []string { return append([]string{""}, s.Sites()...) }

// For returns what is in force at a site. A site without an overlay, and the
// empty name, get the base.
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

// Bytes writes the set as one document.
func (s *Set) Bytes() ([]byte, error) {
	doc, err := codec.Write(s)
	if err != nil {
		return nil, fmt.Errorf("sites: write: %w", err)
	}
	return doc, nil
}

// Package codec reads and writes azurelane's own JSON documents: strict, and
// with spans of time as text such as "1.5s".
package codec

import (
	"fmt"
	"io"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

var (
	readSpan = json.WithUnmarshalers(json.UnmarshalFunc(func(data []byte, d *time.Duration) error {
		var s string
		if err := json.Unmarshal(data, &s); err != nil {
			return fmt.Errorf("expected a span such as \"1.5s\", not %s", data)
		}
		v, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("expected a span such as \"1.5s\": %w", err)
		}
		*d = v
		return nil
	}))
	writeSpan = json.WithMarshalers(json.MarshalFunc(func(d time.Duration) ([]byte, error) {
		return json.Marshal(d.String())
	}))
	strict = json.JoinOptions(json.RejectUnknownMembers(true), readSpan)
)

// Read fills v from a document. Unknown keys, wrong types and wrong units are
// refused; the error names the key path.
func Read(data []byte, v any) error {
	if err := json.Unmarshal(data, v, strict); err != nil {
		return fmt.Errorf("codec: read: %w", err)
	}
	return nil
}

// ReadLoose fills v from a stream and passes over unknown keys, for documents
// that newer programs may send to older ones.
func ReadLoose(r io.Reader, v any) error {
	if err := json.UnmarshalRead(r, v, readSpan); err != nil {
		return fmt.Errorf("codec: read: %w", err)
	}
	return nil
}

// Write returns v as one line. Equal values give equal bytes.
func Write(v any) ([]byte, error) {
	data, err := json.Marshal(v, writeSpan, json.Deterministic(true))
	if err != nil {
		return nil, fmt.Errorf("codec: write: %w", err)
	}
	return data, nil
}

// Print returns v with line breaks, for people.
func Print(v any) ([]byte, error) {
	data, err := json.Marshal(v, writeSpan, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return nil, fmt.Errorf("codec: print: %w", err)
	}
	return data, nil
}

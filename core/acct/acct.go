// Package acct describes a client account.
package acct

// Account is the configuration of one client account. It holds only hashes of the account's keys.
type Account struct {
	KeySHA256        string   `json:"key-sha256"`                 // Hex SHA-256 of the bearer key.
	Weight           float64  `json:"weight,omitzero"`            // Share of work units relative to other accounts; 0 means 1.
	MaxWaiting       int      `json:"max-waiting,omitzero"`       // Requests that may wait in one pool; 0 means the default.
	MaxConnections   int      `json:"max-connections,omitzero"`   // Requests that may be open at one entry; 0 means the default.
	MaxBodyBytes     int64    `json:"max-body,omitzero"`          // Bytes of one request's body; 0 means the default.
	MaxOpenBodyBytes int64    `json:"max-bodies,omitzero"`        // Bytes of the bodies of all open requests at one entry; 0 means the default.
	Tiers            []string `json:"tiers,omitempty"`            // Tiers that it may use; empty for all.
	MoreKeysSHA256   []string `json:"more-keys-sha256,omitempty"` // Hashes of further keys. If the list is present, even empty, key-sha256 may be left out.
	Priority         *int     `json:"priority,omitempty"`         // Added to the priorities of routes, which order the account's own requests; nil for none.
	Rate             float64  `json:"rate,omitzero"`              // Units per second over all entries; 0 means no limit.
	Burst            float64  `json:"burst,omitzero"`             // Units that may be used at once.
	PlainUnits       int64    `json:"plain-units,omitzero"`       // Units of a request that names no tokens; 0 means 1.
	ByRequest        bool     `json:"by-request,omitzero"`        // Each request counts as one unit, whatever its tokens.
}

// Units returns the units that a request with the given number of tokens counts against the rate.
func (a Account) Units(tokens int64) int64 {
	switch {
	case a.ByRequest:
		return 1
	case tokens > 0:
		return tokens
	}
	return max(a.PlainUnits, 1)
}

// KeyHashes returns the hashes of all keys.
func (a Account) KeyHashes() []string {
	if a.KeySHA256 == "" {
		return a.MoreKeysSHA256
	}
	return append([]string{a.KeySHA256}, a.MoreKeysSHA256...)
}

// Defaults for limits that are zero.
const (
	DefaultMaxWaiting       = 1000
	DefaultMaxConnections   = 512
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxOpenBodyBytes = 64 << 20
)

// WithDefaults returns the account with defaults in place of zero values.
func (a Account) WithDefaults() Account {
	if a.Weight == 0 {
		a.Weight = 1
	}
	if a.MaxWaiting == 0 {
		a.MaxWaiting = DefaultMaxWaiting
	}
	if a.MaxConnections == 0 {
		a.MaxConnections = DefaultMaxConnections
	}
	if a.MaxBodyBytes == 0 {
		a.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if a.MaxOpenBodyBytes == 0 {
		a.MaxOpenBodyBytes = DefaultMaxOpenBodyBytes
	}
	return a
}

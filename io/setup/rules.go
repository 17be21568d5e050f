package setup

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"time"

	"azurelane/core/keys"
)

// Defaults for what settings leave out.
const (
	DefaultDrainLinger = 3 * time.Second  // Longer than two checks of a usual balancer.
	DefaultDrainLimit  = 40 * time.Minute // Longer than the longest run that a pool allows by default.
	DefaultLogFormat   = "text"
)

// rule is one key with its check. The operators' reference is made from the
// same list, so that the two can't drift apart.
type rule struct {
	keys.Key
	ok func(*Setup) bool
}

var rules = []rule{
	{keys.Key{Path: "/node", Want: "a name", Text: "Name of the VM, unique in the deployment."}, func(s *Setup) bool { return s.Node != "" }},
	{keys.Key{Path: "/data-centre", Want: "a name", Text: "The site whose overlay applies."}, func(s *Setup) bool { return s.DataCentre != "" }},
	{keys.Key{Path: "/callers", Want: "an IP address with a port, for an entry only", Text: "Entry: HTTP for callers. Its presence makes the settings those of an entry."}, func(s *Setup) bool { return listens(s.Callers, s.Role() == Entry) }},
	{keys.Key{Path: "/upstreams", Want: "an IP address with a port, for an entry only", Text: "Entry: HTTP for upstreams that announce themselves."}, func(s *Setup) bool { return listens(s.Upstreams, s.Role() == Entry) }},
	{keys.Key{Path: "/peers", Want: "an IP address with a port that other VMs can dial, not 0.0.0.0", Text: "Links between azurelane processes."}, func(s *Setup) bool { return dialled(s.Peers) }},
	{keys.Key{Path: "/operator", Want: "an IP address with a port, not that of another key", Text: "HTTP for operators: metrics, readiness, information, draining."}, func(s *Setup) bool { return listens(s.Operator, true) && s.apart() }},
	{keys.Key{Path: "/control", Want: "1 to 7 addresses that other VMs can dial, each once", Text: "Peer addresses of all control replicas, the same everywhere."}, func(s *Setup) bool { return len(s.Control) >= 1 && len(s.Control) <= maxControl && list(s.Control) }},
	{keys.Key{Path: "/seeds", Want: "addresses that other VMs can dial, each once", Text: "Entry: peer addresses of some entries in its own data centre; two or three are enough."}, func(s *Setup) bool { return list(s.Seeds) }},
	{keys.Key{Path: "/data-folder", Want: "a folder on a disk", Text: "Control: folder of the log; must be given. Its files belong to this one process."}, func(s *Setup) bool { return s.Role() == Entry || s.DataFolder != "" }},
	{keys.Key{Path: "/drain-limit", Want: "a span such as \"40m\"", Default: "40m0s", Text: "Entry: longest wait for requests in flight when it stops."}, func(s *Setup) bool { return s.DrainLimit >= 0 }},
	{keys.Key{Path: "/drain-linger", Want: "a span such as \"3s\", or \"0s\"", Default: "3s", Text: "Entry: how long it still serves after it has said that it is not ready, so that a balancer turns away."}, func(s *Setup) bool { return s.DrainLinger == nil || *s.DrainLinger >= 0 }},
	{keys.Key{Path: "/log-format", Want: "text or json", Default: DefaultLogFormat, Text: "Form of the log on standard error."}, func(s *Setup) bool { return slices.Contains([]string{"", "text", "json"}, s.LogFormat) }},
	{keys.Key{Path: "/log-level", Want: "0 or 1", Default: "0", Text: "0 for what operators need, 1 for detail."}, func(s *Setup) bool { return s.LogLevel == 0 || s.LogLevel == 1 }},
	{keys.Key{Path: "/trace/otlp", Want: "a URL of a collector, or a file, not both", Text: "URL of an OTLP collector over HTTP, as in `http://10.0.0.9:4318/v1/traces`."}, func(s *Setup) bool { return s.Trace.OTLP == "" || s.Trace.File == "" }},
	{keys.Key{Path: "/trace/file", Want: "a file", Text: "File that spans are appended to, as JSON, in place of a collector."}, func(*Setup) bool { return true }},
	{keys.Key{Path: "/trace/ratio", Want: "a number from 0 to 1", Default: "0", Text: "Part of the requests traced. A caller's sampled `traceparent` is always honoured."}, func(s *Setup) bool { return s.Trace.Ratio >= 0 && s.Trace.Ratio <= 1 }},
	{keys.Key{Path: "/tls/cert", Want: "a PEM file, together with key and ca", Text: "Certificate of this process, for links and the operators' port. Without `tls` neither is encrypted."}, func(s *Setup) bool { return s.TLS.Whole() }},
	{keys.Key{Path: "/tls/key", Want: "a PEM file", Text: "Its private key."}, func(*Setup) bool { return true }},
	{keys.Key{Path: "/tls/ca", Want: "a PEM file", Text: "Authorities that sign the certificates of the deployment's processes and operators."}, func(*Setup) bool { return true }},
	{keys.Key{Path: "/operator-token-sha256", Want: "64 hex digits", Text: "Hex SHA-256 of the bearer token that operators show."}, func(s *Setup) bool { return s.OperatorToken == "" || isSHA256(s.OperatorToken) }},
}

// maxControl is the most control replicas that a deployment may have.
const maxControl = 7

// Keys lists every key of the settings, in the order of the reference.
func Keys() []keys.Key {
	list := make([]keys.Key, 0, len(rules))
	for _, r := range rules {
		list = append(list, r.Key)
	}
	return list
}

// WithDefaults returns the settings with what they left out.
func (s Setup) WithDefaults() Setup {
	if s.DrainLimit == 0 {
		s.DrainLimit = DefaultDrainLimit
	}
	if s.DrainLinger == nil {
		linger := DefaultDrainLinger
		s.DrainLinger = &linger
	}
	if s.LogFormat == "" {
		s.LogFormat = DefaultLogFormat
	}
	return s
}

// listens reports whether a process can listen at the address, which must be
// there when it is needed and absent otherwise.
func listens(a netip.AddrPort, needed bool) bool {
	if !needed {
		return !a.IsValid()
	}
	return a.IsValid() && a.Port() != 0
}

// dialled reports whether others can dial the address. They know a process by
// it, so an unspecified one would make every process the same to them.
func dialled(a netip.AddrPort) bool { return listens(a, true) && !a.Addr().IsUnspecified() }

func list(addrs []netip.AddrPort) bool {
	for i, a := range addrs {
		if !dialled(a) || slices.Contains(addrs[:i], a) {
			return false
		}
	}
	return true
}

// apart reports whether no two of the process's addresses clash.
func (s *Setup) apart() bool {
	var own []netip.AddrPort
	for _, a := range []netip.AddrPort{s.Callers, s.Upstreams, s.Peers, s.Operator} {
		if !a.IsValid() {
			continue
		}
		for _, b := range own {
			if a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()) {
				return false
			}
		}
		own = append(own, a)
	}
	return true
}

func isSHA256(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 32
}

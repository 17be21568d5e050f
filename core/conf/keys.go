package conf

import (
	"strconv"

	"azurelane/core/acct"
	"azurelane/core/keys"
	"azurelane/core/pool"
)

const (
	hashWant  = "64 hex digits"
	limitWant = "a number of 0 or more"
	spanWant  = "a span such as \"1.5s\""
	boolWant  = "true or false"
)

// Keys lists every key of a site's merged configuration, for the operators'
// reference.
func Keys() []keys.Key {
	return []keys.Key{
		{Path: "/client-accounts/*/key-sha256", Want: hashWant, Text: "Hex SHA-256 of the account's bearer key."},
		{Path: "/client-accounts/*/weight", Want: limitWant, Default: "1", Text: "Share of work units against other accounts."},
		{Path: "/client-accounts/*/max-waiting", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxWaiting), Text: "Requests that may wait in one pool."},
		{Path: "/client-accounts/*/max-connections", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxConnections), Text: "Requests that may be open at one entry."},
		{Path: "/client-accounts/*/max-body", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxBody), Text: "Bytes of one request's body."},
		{Path: "/client-accounts/*/max-bodies", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxBodies), Text: "Bytes of all its open bodies at one entry."},
		{Path: "/client-accounts/*/tiers", Want: "names of tiers", Text: "Tiers that it may use; all when left out."},
		{Path: "/tiers/*/level", Want: "0, 1 or 2", Default: "0", Text: "0 urgent, 1 normal, 2 bulk."},
		{Path: "/tiers/*/deadline", Want: spanWant, Text: "For requests that name none."},
		{Path: "/tiers/*/share", Want: "a number from 0 to 1", Default: "0", Text: "Least part of the work units that it gets while it waits."},
		{Path: "/pools/*/models", Want: "names, each in one pool only", Text: "Models that the pool serves. A pool has either models or a service."},
		{Path: "/pools/*/service", Want: "a name of its own", Text: "Name under `/svc/`."},
		{Path: "/pools/*/scheduler", Want: "a registered policy", Default: pool.DefaultScheduler, Text: "Scheduling policy."},
		{Path: "/pools/*/preset", Want: "goodput or prefill", Default: "goodput", Text: "Which measure weighs more: goodput by tier or wasted prefill."},
		{Path: "/pools/*/max-waiting", Want: limitWant, Default: strconv.Itoa(pool.DefaultMaxWaiting), Text: "Tickets that may wait in all."},
		{Path: "/pools/*/max-run", Want: spanWant, Default: pool.DefaultMaxRun.String(), Text: "Longest run of one request."},
		{Path: "/pools/*/silence", Want: spanWant, Default: pool.DefaultSilence.String(), Text: "Longest gap between two reads of an answer."},
		{Path: "/pools/*/grant-ttl", Want: spanWant, Default: pool.DefaultGrantTTL.String(), Text: "How long a grant may be used."},
		{Path: "/pools/*/abroad", Want: "names of data centres", Text: "Where to ask when this data centre has no live upstream of the pool."},
		{Path: "/pools/*/repeatable", Want: boolWant, Default: "true", Text: "Whether calls may be repeated; told to the scheduler. Every request is sent at most once, whatever this says; a call that its caller may send again needs a key."},
		{Path: "/pools/*/max-answer", Want: limitWant, Default: strconv.Itoa(pool.DefaultMaxAnswer), Text: "Bytes of an answer that is kept, or read whole before it is passed on."},
		{Path: "/pools/*/run-on", Want: boolWant, Default: "true", Text: "Whether a keyed request runs to its end when its callers go away."},
		{Path: "/pools/*/announce-key-sha256", Want: hashWant, Text: "Hex SHA-256 of the bearer key with which upstreams announce themselves. Without it any can join: for development only."},
		{Path: "/claim-keep", Want: spanWant, Default: DefaultClaimKeep.String(), Text: "How long a finished key is remembered."},
		{Path: "/answer-keep", Want: spanWant, Default: DefaultAnswerKeep.String(), Text: "How long a keyed request's answer is kept for a second submission."},
		{Path: "/answer-bytes", Want: limitWant, Default: strconv.Itoa(DefaultAnswerBytes), Text: "Bytes of all answers kept at one entry."},
	}
}

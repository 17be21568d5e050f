package conf

import (
	"fmt"
	"slices"
	"strconv"

	"azurelane/core/acct"
	"azurelane/core/keys"
	"azurelane/core/pool"
	"azurelane/core/route"
)

const (
	hashWant  = "64 hex digits"
	limitWant = "a number of 0 or more"
	spanWant  = "a span such as \"1.5s\""
	boolWant  = "true or false"
	off       = "false"
)

// Keys lists every key of a site's merged configuration, for the operators'
// reference.
func Keys() []keys.Key {
	return slices.Concat(accountKeys(), poolKeys(), routeKeys(), limitKeys())
}

// accountKeys lists the keys of client accounts and tiers.
func accountKeys() []keys.Key {
	return []keys.Key{
		{Path: "/client-accounts/*/key-sha256", Want: hashWant, Text: "Hex SHA-256 of the account's bearer key."},
		{Path: "/client-accounts/*/weight", Want: limitWant, Default: "1", Text: "Share of work units against other accounts."},
		{Path: "/client-accounts/*/max-waiting", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxWaiting), Text: "Requests that may wait in one pool."},
		{Path: "/client-accounts/*/max-connections", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxConnections), Text: "Requests that may be open at one entry."},
		{Path: "/client-accounts/*/max-body", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxBodyBytes), Text: "Bytes of one request's body."},
		{Path: "/client-accounts/*/max-bodies", Want: limitWant, Default: strconv.Itoa(acct.DefaultMaxOpenBodyBytes), Text: "Bytes of all its open bodies at one entry."},
		{Path: "/client-accounts/*/tiers", Want: "names of tiers", Text: "Tiers that it may use; all when left out."},
		{Path: "/client-accounts/*/more-keys-sha256", Want: "a list of 64 hex digits each", Text: "Hashes of further keys. With this list `key-sha256` may be left out."},
		{Path: "/client-accounts/*/priority", Want: "a number", Text: "Against other accounts; 0 is the most urgent. Each level counts as much as one of a route, and the routes' levels order the account's own requests."},
		{Path: "/client-accounts/*/rate", Want: limitWant, Default: "0", Text: "Units a second over all entries, on routes; 0 for any."},
		{Path: "/client-accounts/*/burst", Want: limitWant, Default: "0", Text: "Units that may come at once."},
		{Path: "/client-accounts/*/plain-units", Want: limitWant, Default: "1", Text: "Units of a request that names no tokens."},
		{Path: "/client-accounts/*/by-request", Want: boolWant, Default: off, Text: "Each request is one unit, whatever its tokens."},
		{Path: "/tiers/*/level", Want: "0, 1 or 2", Default: "0", Text: "0 urgent, 1 normal, 2 bulk."},
		{Path: "/tiers/*/deadline", Want: spanWant, Text: "For requests that name none."},
		{Path: "/tiers/*/share", Want: "a number from 0 to 1", Default: "0", Text: "Least part of the work units that it gets while it waits."},
	}
}

// poolKeys lists the keys of pools.
func poolKeys() []keys.Key {
	return []keys.Key{
		{Path: "/pools/*/models", Want: "names, each in one pool only", Text: "Models that the pool serves. A pool has either models or a service."},
		{Path: "/pools/*/service", Want: "a name of its own", Text: "Name under `/svc/`."},
		{Path: "/pools/*/scheduler", Want: "a registered policy", Default: pool.DefaultScheduler, Text: "Scheduling policy."},
		{Path: "/pools/*/preset", Want: "goodput or prefill", Default: "goodput", Text: "Which measure weighs more: goodput by tier or wasted prefill."},
		{Path: "/pools/*/max-waiting", Want: limitWant, Default: strconv.Itoa(pool.DefaultMaxWaiting), Text: "Tickets that may wait in all."},
		{Path: "/pools/*/max-run", Want: spanWant, Default: pool.DefaultMaxRun.String(), Text: "Longest run of one request."},
		{Path: "/pools/*/silence", Want: spanWant, Default: pool.DefaultSilence.String(), Text: "Longest gap between two reads of an answer."},
		{Path: "/pools/*/grant-ttl", Want: spanWant, Default: pool.DefaultGrantTTL.String(), Text: "How long a grant may be used."},
		{Path: "/pools/*/abroad", Want: "names of data centres", Text: "Where to ask when this data centre has no live upstream of the pool."},
		{Path: "/pools/*/repeatable", Want: boolWant, Default: "true", Text: "Whether calls may be repeated. No scheduling policy acts on it yet: every request is sent at most once, whatever this says; a call that its caller may send again needs a key."},
		{Path: "/pools/*/max-answer", Want: limitWant, Default: strconv.Itoa(pool.DefaultMaxAnswer), Text: "Bytes of an answer that is kept, or read whole before it is passed on."},
		{Path: "/pools/*/run-on", Want: boolWant, Default: "true", Text: "Whether a keyed request runs to its end when its callers go away."},
		{Path: "/pools/*/announce-key-sha256", Want: hashWant, Text: "Hex SHA-256 of the bearer key with which upstreams announce themselves. Without it any can join: for development only."},
		{Path: "/pools/*/by-route", Want: boolWant, Default: off, Text: "Only routes lead to it; it needs neither models nor a service."},
		{Path: "/pools/*/slots", Want: limitWant, Default: "0", Text: "Requests that a model engine runs at once; 0 for a plain service."},
		{Path: "/pools/*/cache-tokens", Want: limitWant, Default: "0", Text: "Tokens that an engine's cache holds; 0 for unknown."},
		{Path: "/pools/*/event-tokens", Want: limitWant, Default: "1", Text: "Tokens in one event of a stream."},
		{Path: "/pools/*/health-path", Want: "a path", Text: "Path of the upstreams' health check, for upstreams whose responses end with their connections; see [ended connections](#ended-connections). Without it a connection is opened instead."},
		{Path: "/pools/*/connections", Want: limitWant, Default: "0", Text: "Connections that one upstream takes from all entries; 0 for any."},
		{Path: "/pools/*/migrate", Want: boolWant, Default: off, Text: "Whether streams move off engines that leave, where `moves` says that the engines offer it."},
		{Path: "/pools/*/rebalance", Want: boolWant, Default: off, Text: "Whether streams move off engines on which they would end after their deadlines or pause for too long. Needs `migrate` and the policy `batch`."},
		{Path: "/pools/*/moves", Want: boolWant, Default: off, Text: "Whether the engines offer moves of runs; without it they get no such calls."},
		{Path: "/pools/*/handle-time", Want: spanWant, Default: "0s", Text: "How long an engine keeps the copy of a run that is not used. It must be over 0 where streams move."},
		{Path: "/pools/*/late-service", Want: boolWant, Default: "by defer-from", Text: "Whether requests that can't be in time any more wait for room that others leave, as long as they can end before their deadlines."},
		{Path: "/pools/*/fair-shares", Want: boolWant, Default: "by defer-from", Text: "Whether client accounts get shares of a full pool by their weights."},
		{Path: "/pools/*/timed-returns", Want: boolWant, Default: "by defer-from", Text: "Whether refused callers are told to return when there is room."},
		{Path: "/pools/*/live-speed", Want: boolWant, Default: off, Text: "Whether requests are placed by how long work currently takes on each engine, where the engines' responses state it."},
	}
}

// routeKeys lists the keys of routes.
func routeKeys() []keys.Key {
	return []keys.Key{
		{Path: "/routes/*/name", Want: "a name", Text: "Name of the route in logs and metrics."},
		{Path: "/routes/*/host", Want: "a host name", Text: "Host of the requests, in any letters. With a port, only requests that name it match."},
		{Path: "/routes/*/prefix", Want: "a path that begins and ends with a slash", Text: "The longest prefix that begins the path wins."},
		{Path: "/routes/*/split/*/pool", Want: "a name of a pool", Text: "Pool that gets a part of the route's requests."},
		{Path: "/routes/*/split/*/weight", Want: limitWant, Text: "Its part against the others."},
		{Path: "/routes/*/stream", Want: boolWant, Default: off, Text: "Answers are server-sent events with increasing ids."},
		{Path: "/routes/*/idempotent", Want: boolWant, Default: off, Text: "Requests may run more than once."},
		{Path: "/routes/*/resumable", Want: boolWant, Default: off, Text: "A stream may go on at another upstream."},
		{Path: "/routes/*/public", Want: boolWant, Default: off, Text: "Requests need no key."},
		{Path: "/routes/*/upstreams", Want: limitWant, Default: "1", Text: "Most upstreams that may run one request."},
		{Path: "/routes/*/timeout", Want: spanWant, Text: "Longest time until the final answer."},
		{Path: "/routes/*/objective", Want: spanWant, Default: "0s", Text: "Until an answer, of a stream its first event, is late."},
		{Path: "/routes/*/gap", Want: spanWant, Default: "0s", Text: "Longest pause between two events that is on time."},
		{Path: "/routes/*/priority", Want: "a number", Default: "0", Text: "0 is the most urgent."},
		{Path: "/routes/*/patience", Want: spanWant, Default: "0s", Text: "Time without a byte of an answer after which callers leave; 0 if they wait for the timeout."},
		{Path: "/routes/*/late-worth", Want: "a number from 0 to 1", Default: fmt.Sprint(route.DefaultLateWorth), Text: "Share of its worth that an answer keeps for its caller when it is late; with 0 none is served late."},
	}
}

// limitKeys lists the keys of callers' limits and kept answers.
func limitKeys() []keys.Key {
	return []keys.Key{
		{Path: "/limits/header-bytes", Want: limitWant, Default: "32768", Text: "Bytes of a request's header, on routes."},
		{Path: "/limits/body-bytes", Want: limitWant, Default: "4194304", Text: "Bytes of a request's body, on routes."},
		{Path: "/limits/header-time", Want: spanWant, Default: "10s", Text: "For a request's header to come, on routes."},
		{Path: "/limits/idle-time", Want: spanWant, Default: "2m0s", Text: "Of a kept-alive connection between requests, on routes."},
		{Path: "/claim-keep", Want: spanWant, Default: DefaultClaimKeep.String(), Text: "How long a finished key is remembered."},
		{Path: "/answer-keep", Want: spanWant, Default: DefaultAnswerKeep.String(), Text: "How long a keyed request's answer is kept for a second submission."},
		{Path: "/answer-bytes", Want: limitWant, Default: strconv.Itoa(DefaultAnswerBytes), Text: "Bytes of all answers kept at one entry."},
	}
}

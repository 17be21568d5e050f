package stats

import (
	"fmt"
	"strings"
)

const (
	counter   = "counter"
	gauge     = "gauge"
	histogram = "histogram"

	entry   = "entry"
	gate    = "gate"
	control = "control"
	both    = "both"
)

// names lists every metric for operators. A name that ends in "*" stands for
// all names that begin so. Tests hold it against what processes serve.
var names = []struct{ name, kind, where, text string }{
	{"request-time-us", histogram, entry, "Microseconds from a request's arrival to the end of its answer."},
	{"queue-time-us", histogram, entry, "Microseconds that a ticket waited for its decision."},
	{"claim-time-us", histogram, entry, "Microseconds that the claim of a key took."},
	{"outcome-*", counter, entry, "Requests by outcome: whole, not-run, unknown, failed."},
	{"headers-refused-STATUS", counter, gate, "Requests refused before their header was read to its end: 431 over `/limits/header-bytes`, 503 without memory for headers over 32 KB."},
	{"connections-turned-away", counter, gate, "New connections that were closed before a byte was read, as the entry's processor was overloaded."},
	{"answers-in-memory-bytes", gauge, gate, "Answers that were read and not passed on yet. They may take an eighth of `memory-mb`."},
	{"bodies-in-memory-bytes", gauge, gate, "Bodies of requests that may be sent again, or are still read or sent. They may take an eighth of `memory-mb`, and a sixth together with answers."},
	{"refused-no-memory", counter, gate, "Requests refused because the entry had no memory for their bodies."},
	{"answers-passed-on-early", counter, gate, "Answers that were passed on before they were complete, as there was no room for the rest."},
	{"requests", counter, gate, "Requests whose header was read. Each ends in one of `answers-whole`, `answers-failed`, `refused-*` and `aborted`."},
	{"answers-whole", counter, gate, "Requests that got an upstream's complete response with a status under 500."},
	{"answers-failed", counter, gate, "Requests that got an upstream's complete response with a status of 500 or more."},
	{"answers-not-run", counter, gate, "Responses among `answers-whole` whose status tells callers that nothing ran: 408, 421 and 429. Only requests that may run more than once get them."},
	{"aborted", counter, gate, "Requests that ended without a complete response, or whose callers left. `aborted-*` are the same by reason."},
	{"sends-*", counter, gate, "Sends that brought no complete response, by ending as in the line `Send ended.`, whose `err` says how many bytes of the request were written where no response came. `sends-unsent` with bytes written is a fault."},
	{"responses-ended-by-close", counter, gate, "Responses of upstreams with neither a length nor chunks, which end with their connections. `framing` in the lines `Send ended.` and `Response complete.` is `close` for them, else `length` or `chunks`."},
	{"closes-confirmed", counter, gate, "Such responses that count as whole because their upstream has outlived them."},
	{"closes-doubted", counter, gate, "Such responses that count as broken off because it may not have."},
	{"processor-delay-us", gauge, gate, "How long work waits for a processor, on average, in microseconds; measured while the entry seems late, else zero."},
	{"moves-by-*", counter, gate, "Tries to move a stream off an upstream: off one that leaves, by what says so (roster, response), and off one that serves and is too slow for the stream (slow)."},
	{"moves-*", counter, gate, "The same by outcome: moved, returned (stopped, and continued where it was), broken (stopped, and continued nowhere), ended (before the stop), no-slot, no-room, gone, call-lost, not-stopped, recovered (the upstream was fast enough again before the stop). `moves-leaves-*` and `moves-slow-*` are the same by reason. `moves-unfreed` are copies that could not be freed; their slots count as taken for twice `handle-time`."},
	{"refused-*", counter, entry, "Refusals by code; docs/API.md lists the codes."},
	{"wasted-prefill-tokens", counter, entry, "Prompt tokens, as estimated, of requests that were sent and have no whole answer."},
	{"shed-for-urgent", counter, entry, "Waiting requests refused because more urgent work of their account needed the place."},
	{"placed-again", counter, entry, "Placements after the first; nothing had been sent before."},
	{"finish-not-recorded", counter, entry, "Keyed runs whose end could not be written to control."},
	{"claims-freed", counter, entry, "Claims taken back because nothing was sent."},
	{"tickets-waiting", gauge, entry, "Tickets of all entries that wait at this one for a decision."},
	{"pools-owned", gauge, entry, "Pools that this entry schedules."},
	{"members-alive", gauge, entry, "Entries of the data centre that count as alive, itself among them."},
	{"config-version", gauge, both, "Version of the configuration: in force here, or newest accepted at a control replica."},
	{"log-index", gauge, control, "Newest committed entry of the replicated log."},
	{"log-term", gauge, control, "Term of the replicated log."},
	{"log-leader", gauge, control, "1 where this replica leads, else 0."},
	{"claims", gauge, control, "Keys that are remembered."},
	{"nodes-heard", gauge, control, "Entries whose beats this replica has heard."},
	{"goroutines", gauge, both, "Goroutines."},
	{"memory-heap-bytes", gauge, both, "Bytes of live and unswept objects."},
	{"memory-total-bytes", gauge, both, "Bytes that the runtime holds from the system."},
	{"gc-cycles", gauge, both, "Garbage collections so far."},
}

// Listed reports whether the reference names the metric.
func Listed(name string) bool {
	for _, n := range names {
		if prefix, ok := strings.CutSuffix(n.name, "*"); n.name == name || ok && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// Table writes the reference of the metrics in Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| metric | kind | served by | meaning |\n|---|---|---|---|\n")
	for _, n := range names {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", n.name, n.kind, n.where, n.text)
	}
	return b.String()
}

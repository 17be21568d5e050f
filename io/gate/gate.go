// Package gate serves the callers of routes: it finds the route and the client
// account of a request, gets a place for it at an upstream, and passes the
// answer on.
package gate

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/reqage"
	"azurelane/core/budget"
	"azurelane/core/meta"
	"azurelane/core/peers"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/stats"
	"azurelane/io/watch"
)

type (
	// Gate is the handler of callers' requests. Its exported fields are set
	// before use.
	Gate struct {
		Node        string
		Incarnation string
		Centre      string
		News        news
		Granter     granter
		Sender      sender
		Prober      prober
		Trier       trier
		Dialect     dialect
		Ratio       float64 // Part of the requests that may be sent a second time.
		Slack       float64 // Second sends beyond that, over all entries.
		QuotaSlack  float64 // Units that all entries together may let pass beyond an account's rate.
		Stats       *stats.Stats
		Log         logr.Logger

		draining atomic.Pointer[Stop]
		early    atomic.Int64  // Requests that wait for the first configuration.
		last     atomic.Uint64 // Ticket number.
		suspects suspects
		limits   limits
		reports  reports

		mu      sync.Mutex // Of what follows.
		peers   peers.Peers
		budgets map[string]*budget.Budget // By pool.
		usage   map[string]int64          // Units by account, not reported yet.
		alone   alone
		before  map[string]*reqage.Estimator // By route.
	}

	// news is what the entry knows of the deployment.
	news interface {
		View() *watch.View
		Configured() <-chan struct{}
		Doubt(ctx context.Context)
		Replaced(id string)
	}

	granter interface {
		Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error)
		Release(r *wire.Release)
	}

	// sender does one round trip; see client.Client.
	sender interface {
		Send(ctx context.Context, r *http.Request) (*http.Response, bool, error)
	}

	// dialect knows how headers are spoken here.
	dialect interface {
		// Read returns what the caller's header says.
		Read(h http.Header) (meta.Meta, error)
		// Forward returns the header for an upstream: without what concerns one
		// connection, the caller's key, and what only this system may say.
		Forward(h http.Header) http.Header
		// Stamp adds what one upstream is told.
		Stamp(h http.Header, hop meta.Hop)
		// NotRun reports whether an upstream says that it did not run the request.
		NotRun(r *http.Response) bool
		// Other reports whether another upstream than the one meant has answered.
		Other(r *http.Response) bool
		// Load returns what an upstream says of its load, if it does.
		Load(r *http.Response) (peers.Load, bool)
		// Limit returns the requests a second that an upstream takes from all, if it says.
		Limit(r *http.Response) (float64, bool)
		// Genuine reports whether an answer shows that an upstream made it.
		Genuine(r *http.Response) bool
		// Refuse adds to the header of a refusal when the caller may come back.
		Refuse(h http.Header, after time.Duration)
	}
)

const (
	bodyLimit = 4 << 20 // Bytes of a body where the configuration sets no limit.
	// notReadyRetry is what callers are told while no configuration is known.
	notReadyRetry = 500 * time.Millisecond
	// awaitFor is how long a request waits for the first configuration, and
	// awaitMost how many do. After a kill or a loss of power of everything entries
	// are back up to half a second before the last replica that a leader needs.
	// Refused then, callers have used up a try; their objectives are longer.
	awaitFor  = 600 * time.Millisecond
	awaitMost = 500
	// stopRetry is what callers are told by an entry that stops: others serve.
	stopRetry = 50 * time.Millisecond
)

// Stop says how an entry that stops treats requests.
type Stop struct {
	Refuse time.Time // What may not be done by End is refused from here on.
	End    time.Time // What runs then is cut off.
}

// Drain makes callers close their connections: each answer asks them to.
func (g *Gate) Drain(s Stop) { g.draining.Store(&s) }

// Ready reports whether callers should be sent here.
func (g *Gate) Ready() bool { return g.draining.Load() == nil && g.News.View().Index != nil }

// stopping reports whether a request that may last so long comes too late for
// an entry that stops: it would be cut off in the middle.
func (g *Gate) stopping(now time.Time, last time.Duration) bool {
	s := g.draining.Load()
	return s != nil && now.After(s.Refuse) && now.Add(last).After(s.End)
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{gate: g, w: w, r: r, start: time.Now(), view: g.News.View()}
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if q.view.Index == nil {
		g.untilConfigured(r.Context())
		q.view = g.News.View()
	}
	if err := q.open(); err != nil {
		q.refuse(err)
		return
	}
	q.serve()
}

// untilConfigured waits for the first configuration, without which nothing can be told of
// a request, for as long as one that has just started may take to get it.
func (g *Gate) untilConfigured(ctx context.Context) {
	if g.early.Add(1) > awaitMost {
		g.early.Add(-1)
		return
	}
	defer g.early.Add(-1)
	limit := time.NewTimer(awaitFor)
	defer limit.Stop()
	select {
	case <-g.News.Configured():
	case <-limit.C:
	case <-ctx.Done():
	}
}

// open finds out what the request is about and reads its body.
func (q *request) open() *refuse.Error {
	m, unread := q.gate.Dialect.Read(q.r.Header)
	q.meta = m // Even of a header that can't be read whole: its id names the request in logs.
	if q.view.Index == nil {
		return refuse.New(refuse.NotReady, "no configuration yet", notReadyRetry)
	}
	if most := q.view.Index.Config().Limits.HeaderBytes; most > 0 && headerSize(q.r) > most {
		return refuse.New(refuse.HeaderLarge, "", 0)
	}
	q.route = q.view.Index.Route(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return refuse.New(refuse.NotFound, "no route for that host and path", 0)
	}
	if err := q.identify(); err != nil {
		return err
	}
	if unread != nil {
		return refuse.New(refuse.BadRequest, unread.Error(), 0)
	}
	if q.gate.stopping(q.start, q.limit()) {
		return refuse.New(refuse.ShuttingDown, "", stopRetry)
	}
	q.pool = q.route.Pool()
	return q.readBody()
}

// headerSize is about the bytes of a request's header as it was sent.
func headerSize(r *http.Request) int {
	const between = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + between
		}
	}
	return n
}

// identify finds the client account by its key.
func (q *request) identify() *refuse.Error {
	if q.route.Public || len(q.view.Index.Config().Accounts) == 0 {
		return nil
	}
	key, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse.New(refuse.BadKey, "no key", 0)
	}
	q.account, q.limits, ok = q.view.Index.Account(sha256.Sum256([]byte(key)))
	if !ok {
		return refuse.New(refuse.BadKey, "no account has that key", 0)
	}
	return nil
}

func (q *request) readBody() *refuse.Error {
	limit := q.view.Index.Config().Limits.BodyBytes
	if limit <= 0 {
		limit = bodyLimit
	}
	if q.r.ContentLength > limit {
		return refuse.New(refuse.TooLarge, "", 0)
	}
	data, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		q.body = data
		return nil
	case asError(err, &large):
		return refuse.New(refuse.TooLarge, "", 0)
	}
	return refuse.New(refuse.BadRequest, "the body did not come whole", 0)
}

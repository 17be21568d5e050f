// Package gate serves callers' requests over HTTP. It matches a request to a route and a client
// account, obtains an upstream for it and relays the response.
//
// An entry is a process that runs a Gate. A deployment has many entries behind a load balancer.
//
// Accounts are charged in units. By default a unit is one token of the prompt or the answer; see
// acct.Account.Units for requests that state no tokens and for accounts charged by request.
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

	"azurelane/core/aged"
	"azurelane/core/budget"
	"azurelane/core/buffer"
	"azurelane/core/digest"
	"azurelane/core/haul"
	"azurelane/core/ledger"
	"azurelane/core/meta"
	"azurelane/core/peers"
	"azurelane/core/refuse"
	"azurelane/core/reqage"
	"azurelane/core/wire"
	"azurelane/io/stats"
	"azurelane/io/watch"
)

type (
	// Gate is the handler of callers' requests. Its exported fields must be set before use.
	Gate struct {
		Node        string
		Incarnation string
		DataCentre  string
		Cluster     clusterState
		Granter     granter
		Sender      sender
		Prober      prober
		Trier       trier
		Charger     charger
		Origins     originFinder
		Path        upstreamPath
		Dialect     dialect
		Moves       moveDialect // Nil if streams do not move off upstreams that leave.
		Calls       sender      // Of the calls of moves, and of health checks.
		RetryRatio  float64     // Retries allowed, as a fraction of requests.
		RetrySlack  float64     // Retries allowed beyond RetryRatio in each pool, over all entries.
		QuotaSlack  float64     // Units that the whole deployment may add to each account's burst.
		// SplitValid is how long this entry sends requests to the target version of a rollout
		// without word from the scheduler.
		SplitValid time.Duration
		// UpstreamDrain is how long an upstream that leaves serves on.
		UpstreamDrain time.Duration
		// CallerTimeout is how long a caller may take to read 16 KB; zero for 30 s.
		CallerTimeout time.Duration
		// Linger sets how the connection of a caller ends, as net.TCPConn.SetLinger does; nil for no control of it.
		Linger func(ctx context.Context, sec int)
		// Memory bounds the memory of requests' bodies and of answers that are read before they are passed on.
		Memory buffer.Buffer
		Stats  *stats.Stats
		Log    logr.Logger

		drain            drain
		waitingForConfig atomic.Int64  // Requests that wait for the first configuration.
		lastTicket       atomic.Uint64 // ID of the last ticket.
		memoryLoggedAt   atomic.Int64  // In nanoseconds since 1970.
		suspects         suspects
		rateLimits       rateLimits
		reportSignal     reportSignal
		versions         versions
		origins          origins
		brittle          brittle
		rests            rests
		leaving          leaving
		speeds           speeds
		departures       departures

		mu              sync.Mutex // Guards the fields below.
		peers           peers.Peers
		budgets         map[string]*budget.Budget // By pool.
		unreportedUsage map[string]*aged.Aged     // Units by account that no scheduler has seen.
		prepaid         map[string]int64          // Units by account that the scheduler has charged and that were not used.
		localQuota      localQuota
		ledger          ledger.Ledger // Units of sent and refused requests since the last log line.
		ledgerLoggedAt  time.Time
		retryAges       map[string]*reqage.Estimator // By route; estimate how long ago callers first tried.
		hauls           map[string]*haul.Haul        // By pool; estimate how long moves take.
	}

	// clusterState is this entry's view of the deployment; see watch.Watcher.
	clusterState interface {
		View() *watch.View
		Configured() <-chan struct{}
		Doubt(ctx context.Context)
		Replaced(former *wire.Upstream)
	}

	granter interface {
		Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error)
		Release(r *wire.Release)
	}

	// charger asks the scheduler to charge usage before it happens. The error is a *refuse.Error if
	// an account's rate does not allow it.
	charger interface {
		Charge(ctx context.Context, u *wire.Usage) error
	}

	// originFinder asks the scheduler at which version a stream began. The bool reports whether the
	// scheduler knows it.
	originFinder interface {
		FindOrigin(ctx context.Context, pool string, stream digest.Digest, maxAge time.Duration) (version string, known bool, err error)
	}

	// upstreamPath is this entry's view of its own path to upstreams.
	upstreamPath interface {
		// Excuses reports whether a failure at an upstream's address is the path's fault as far as known.
		Excuses(addr string) bool
		// Blocked reports whether no upstream is reached, also not through other entries.
		Blocked() bool
	}

	// sender performs one round trip. The bool reports whether any byte may have been sent; see
	// client.Client.
	sender interface {
		Send(ctx context.Context, r *http.Request) (*http.Response, bool, error)
	}

	// dialect reads and writes the HTTP headers that this deployment uses.
	dialect interface {
		// Read parses the header of a caller's request.
		Read(h http.Header) (meta.Meta, error)
		// Forward returns the header for an upstream: the caller's header minus the hop-by-hop
		// headers, minus the caller's key and minus the headers that only this system may set.
		Forward(h http.Header) http.Header
		// Stamp adds the headers that are specific to one upstream.
		Stamp(h http.Header, hop meta.Hop)
		// NotRun reports whether a response says that the upstream did not run the request.
		NotRun(r *http.Response) bool
		// Other reports whether an upstream other than the addressed one has responded.
		Other(r *http.Response) bool
		// Load returns the load that an upstream reports in its response, if any.
		Load(r *http.Response) (peers.Load, bool)
		// Limit returns the requests per second that an upstream accepts from all clients together,
		// if the response states a limit.
		Limit(r *http.Response) (float64, bool)
		// Brittle returns how many requests an upstream may refuse in a second, if its response tells.
		Brittle(r *http.Response) (int64, bool)
		// Rest returns for how long an upstream that refuses a request wants no others, if its
		// response tells; zero otherwise.
		Rest(r *http.Response) time.Duration
		// Leaving reports whether a response says that its upstream leaves.
		Leaving(r *http.Response) bool
		// Return removes from the header of a response what callers must not see.
		Return(h http.Header)
		// Instance returns the ID of the upstream that has responded, if the response tells.
		Instance(r *http.Response) string
		// Genuine reports whether a response proves that an upstream created it.
		Genuine(r *http.Response) bool
		// Refuse sets, in the header of a refusal, the time after which the caller may retry.
		Refuse(h http.Header, after time.Duration)
	}
)

const (
	// defaultRetryAfter is the Retry-After of a refusal whose reason is that no configuration is
	// known, that no upstream can be reached or that the deadline passed before the request ran.
	defaultRetryAfter = 500 * time.Millisecond
	// configWait is how long a request waits for the first configuration, and maxConfigWaiters is
	// how many requests may wait at once. When the whole deployment restarts after a crash or a
	// power loss, entries are ready up to half a second before enough control replicas run to elect
	// a leader. A refusal during that time would cost callers one of their attempts. The objectives
	// of their routes, which are target times until the complete response or the first event, are
	// longer than this wait.
	configWait       = 600 * time.Millisecond
	maxConfigWaiters = 500
	// noPathRetryAfter is the Retry-After of an entry that reaches no upstream. Callers reach other
	// entries then.
	noPathRetryAfter = 100 * time.Millisecond
)

// Ready reports whether callers should be sent to this entry.
func (g *Gate) Ready() bool { return !g.drain.begun() && g.Cluster.View().Index != nil }

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Stats.Count("requests", 1)
	q := &request{gate: g, w: w, r: r, start: time.Now(), view: g.Cluster.View()}
	defer q.endWrites()
	defer q.dropBody()
	if g.drain.begun() {
		w.Header().Set("Connection", "close")
	}
	if q.view.Index == nil {
		g.awaitConfig(r.Context())
		q.view = g.Cluster.View()
	}
	if err := q.prepare(); err != nil {
		q.refuse(err)
		return
	}
	q.serve()
}

// awaitConfig waits up to configWait for the first configuration, without which no request can be
// routed. A process that has just started usually receives it within that time.
func (g *Gate) awaitConfig(ctx context.Context) {
	if g.waitingForConfig.Add(1) > maxConfigWaiters {
		g.waitingForConfig.Add(-1)
		return
	}
	defer g.waitingForConfig.Add(-1)
	limit := time.NewTimer(configWait)
	defer limit.Stop()
	select {
	case <-g.Cluster.Configured():
	case <-limit.C:
	case <-ctx.Done():
	}
}

// prepare finds the route, the account and the pool of the request and reads its body.
func (q *request) prepare() *refuse.Error {
	m, headerErr := q.gate.Dialect.Read(q.r.Header)
	q.meta = m // Set even if the header is invalid, so that log lines carry the request ID.
	if q.view.Index == nil {
		return refuse.New(refuse.NotReady, "no configuration yet", defaultRetryAfter)
	}
	q.arrivalVersion = q.view.Version
	if maxHeaderBytes := q.view.Index.Config().Limits.HeaderBytes; maxHeaderBytes > 0 && headerSize(q.r) > maxHeaderBytes {
		return refuse.New(refuse.HeaderLarge, "", 0)
	}
	q.route = q.view.Index.Route(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		return refuse.New(refuse.NotFound, "no route for that host and path", 0)
	}
	if err := q.authenticate(); err != nil {
		return err
	}
	if headerErr != nil {
		return refuse.New(refuse.BadRequest, headerErr.Error(), 0)
	}
	if q.drainCutsOff() {
		return errDraining
	}
	if q.gate.Path.Blocked() {
		return refuse.New(refuse.Unreachable, "this entry reaches no upstream", noPathRetryAfter)
	}
	q.pool = q.route.Pool(q.streamAttempt())
	q.initOrigin()
	return q.readBody()
}

// headerSize estimates the size of a request's header as it was sent, in bytes.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// authenticate finds the client account by its bearer key.
func (q *request) authenticate() *refuse.Error {
	if q.route.Public || len(q.view.Index.Config().Accounts) == 0 {
		return nil
	}
	scheme, key, ok := strings.Cut(q.r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return refuse.New(refuse.BadKey, "no key", 0)
	}
	q.account, q.accountConfig, ok = q.view.Index.Account(sha256.Sum256([]byte(key)))
	if !ok {
		return refuse.New(refuse.BadKey, "no account has that key", 0)
	}
	return nil
}

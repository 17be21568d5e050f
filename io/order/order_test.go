package order_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	core "azurelane/core/permit"
	"azurelane/core/wire"
	"azurelane/io/order"
	"azurelane/io/orderd"
)

// fakeLog applies order commands at once, at a time that the test sets.
type fakeLog struct {
	mu  sync.Mutex
	now time.Duration
	o   core.Orders
}

func (l *fakeLog) Propose(_ context.Context, c *wire.Command) (*wire.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := c.GetOrderStart(); s != nil {
		s.NowUs = l.now.Microseconds()
		return l.o.Start(c.GetId(), s), nil
	}
	return l.o.End(c.GetOrderEnd()), nil
}

func upstream(t *testing.T, h *orderd.Orderd) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
}

func run(ctx context.Context, id string, log *fakeLog, addr netip.AddrPort, checks bool) (uint64, error) {
	o := &order.Order{
		ID: id, Upstream: "e1", Address: addr, Kind: "load-model", Target: "m-" + id, ChecksFence: checks, Limit: time.Minute, Proposer: log,
	}
	return o.Run(ctx)
}

// Two operators order at once, at an upstream that ignores fences. Whichever
// the log takes first runs alone; the other is told to wait and starts nothing.
func TestRacingOperators(t *testing.T) {
	log := &fakeLog{}
	started, finish := make(chan struct{}, 2), make(chan struct{})
	h := &orderd.Orderd{Sleep: func(context.Context, time.Duration) error {
		started <- struct{}{}
		<-finish
		return nil
	}}
	addr := upstream(t, h)
	errs := make(chan error, 2)
	go func() { _, err := run(t.Context(), "a", log, addr, false); errs <- err }()
	<-started
	_, err := run(t.Context(), "b", log, addr, false)
	must.ErrorIs(t, err, order.ErrWait)
	close(finish)
	must.NoError(t, <-errs)
	_, err = run(t.Context(), "b", log, addr, false)
	must.NoError(t, err)
	must.Eq(t, []string{"a", "b"}, h.Done())
	must.Eq(t, 1, h.Most())
}

// The answer to an order is lost, so no one knows whether the engine is still
// loading. The order stays open: another one has to wait for its whole time.
func TestLostAnswerKeepsOthersOut(t *testing.T) {
	log := &fakeLog{}
	ctx, cancel := context.WithCancel(t.Context())
	h := &orderd.Orderd{Sleep: func(rctx context.Context, _ time.Duration) error {
		cancel()
		<-rctx.Done()
		return rctx.Err()
	}}
	addr := upstream(t, h)
	_, err := run(ctx, "a", log, addr, false)
	must.ErrorIs(t, err, order.ErrOpen)
	h.Sleep = func(context.Context, time.Duration) error { return nil }
	_, err = run(t.Context(), "b", log, addr, false)
	must.ErrorIs(t, err, order.ErrWait)
	log.now = time.Minute + core.ExpiryMargin
	fence, err := run(t.Context(), "b", log, addr, false)
	must.NoError(t, err)
	must.Eq(t, uint64(2), fence)
}

// An operator's process freezes between the log's leave and the order, and a
// newer order runs meanwhile at an upstream that checks fences. When the old
// one arrives at last the upstream refuses it, and it is not recorded over the
// newer one.
func TestFrozenOperatorIsFencedOff(t *testing.T) {
	log := &fakeLog{}
	h := &orderd.Orderd{ChecksFence: true}
	addr := upstream(t, h)
	old, err := log.Propose(t.Context(), &wire.Command{Id: "a", Kind: &wire.Command_OrderStart{OrderStart: &wire.OrderStart{
		Upstream: "e1", ChecksFence: true, LimitUs: time.Minute.Microseconds(),
	}}})
	must.NoError(t, err)
	_, err = run(t.Context(), "b", log, addr, true)
	must.NoError(t, err)
	fence, err := run(t.Context(), "a", &fakeLog{}, addr, true) // Its own log: it still holds the leave of before.
	must.ErrorIs(t, err, order.ErrFailed)
	must.Eq(t, old.GetVersion(), fence)
	must.Eq(t, []string{"b"}, h.Done())
}

// The same order is sent again after its answer was lost to the operator: the
// log says that it is over, and the engine isn't asked a second time.
func TestSameOrderAgain(t *testing.T) {
	log := &fakeLog{}
	h := &orderd.Orderd{}
	addr := upstream(t, h)
	_, err := run(t.Context(), "a", log, addr, false)
	must.NoError(t, err)
	_, err = run(t.Context(), "a", log, addr, false)
	must.ErrorIs(t, err, order.ErrOver)
	must.Eq(t, []string{"a"}, h.Done())
}

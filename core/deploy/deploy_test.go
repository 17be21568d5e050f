package deploy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

const second = int64(time.Second / time.Microsecond)

func order(to string, nowUs int64) *wire.StartRollout {
	return &wire.StartRollout{Pool: "p", To: to, LengthUs: 12 * second, NowUs: nowUs}
}

func advance(d *Deploy, number uint64, phase wire.Rollout_Phase) string {
	return d.Advance(&wire.AdvanceRollout{Pool: "p", Number: number, Phase: phase, ElapsedUs: second}).GetCode()
}

func TestStartRefusesMalformedOrders(t *testing.T) {
	for _, test := range []struct {
		name  string
		order *wire.StartRollout
	}{
		{"no pool", &wire.StartRollout{To: "v2", LengthUs: second}},
		{"no version", &wire.StartRollout{Pool: "p", LengthUs: second}},
		{"no length", &wire.StartRollout{Pool: "p", To: "v2"}},
		{"negative length", &wire.StartRollout{Pool: "p", To: "v2", LengthUs: -second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d Deploy
			must.Eq(t, Invalid, d.Start(test.order).GetCode())
			must.SliceEmpty(t, d.Rollouts())
		})
	}
}

// Guards against an order that is carried out twice, or refused, because its acknowledgement was
// lost and it is sent again.
func TestStartAgain(t *testing.T) {
	var d Deploy
	d.Observe("p", "v1")
	first := d.Start(order("v2", second))
	must.Eq(t, OK, first.GetCode())
	must.Eq(t, first, d.Start(order("v2", 2*second)))
	must.Eq(t, Conflict, d.Start(order("v3", 2*second)).GetCode())
	must.Eq(t, OK, advance(&d, first.GetVersion(), wire.Rollout_PHASE_ROLLED_BACK))
	must.Eq(t, first, d.Start(order("v2", 5*second)), must.Sprint("sent again after the end"))
	again := d.Start(order("v2", 60*second))
	must.Eq(t, OK, again.GetCode())
	must.Greater(t, first.GetVersion(), again.GetVersion(), must.Sprint("a new order"))
	must.Eq(t, wire.Rollout_PHASE_CANARY, d.Rollouts()[0].GetPhase())
}

// Guards against an operator who reads a later phase first and an earlier one afterwards.
func TestPhasesNeverGoBack(t *testing.T) {
	const (
		canary    = wire.Rollout_PHASE_CANARY
		shift     = wire.Rollout_PHASE_SHIFT
		completed = wire.Rollout_PHASE_COMPLETED
		back      = wire.Rollout_PHASE_ROLLED_BACK
	)
	for _, test := range []struct {
		name  string
		steps []wire.Rollout_Phase
		codes []string
		end   wire.Rollout_Phase
	}{
		{"completed", []wire.Rollout_Phase{canary, shift, completed, back}, []string{OK, OK, OK, Gone}, completed},
		{"rolled back", []wire.Rollout_Phase{shift, back, completed}, []string{OK, OK, Gone}, back},
		{"no way back from the shift", []wire.Rollout_Phase{shift, canary}, []string{OK, Gone}, shift},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d Deploy
			n := d.Start(order("v2", second)).GetVersion()
			for i, phase := range test.steps {
				must.Eq(t, test.codes[i], advance(&d, n, phase))
			}
			must.Eq(t, test.end, d.Rollouts()[0].GetPhase())
			must.Eq(t, Gone, advance(&d, n+1, shift), must.Sprint("another rollout"))
		})
	}
}

// The version of a pool is that of its first upstream until a rollout completes.
func TestVersions(t *testing.T) {
	var d Deploy
	d.Observe("p", "")
	must.SliceEmpty(t, d.Versions())
	d.Observe("p", "v1")
	d.Observe("p", "v2")
	must.Eq(t, "v1", d.Versions()[0].GetVersion())
	n := d.Start(order("v2", second)).GetVersion()
	must.Eq(t, "v1", d.Rollouts()[0].GetBase())
	must.Eq(t, OK, advance(&d, n, wire.Rollout_PHASE_COMPLETED))
	must.Eq(t, "v2", d.Versions()[0].GetVersion())
	must.Eq(t, OK, d.Start(order("v2", 100*second)).GetCode())
	must.Eq(t, wire.Rollout_PHASE_COMPLETED, d.Rollouts()[0].GetPhase(), must.Sprint("nothing to move"))
}

// A loaded record goes on numbering, so that the number of a lost rollout is never used again.
func TestLoad(t *testing.T) {
	var d, loaded Deploy
	d.Observe("p", "v1")
	n := d.Start(order("v2", second)).GetVersion()
	loaded.Load(d.Rollouts(), d.Versions())
	must.Eq(t, d.Rollouts(), loaded.Rollouts())
	must.Eq(t, d.Versions(), loaded.Versions())
	must.Eq(t, OK, advance(&loaded, n, wire.Rollout_PHASE_ROLLED_BACK))
	must.Eq(t, n+1, loaded.Start(order("v3", 100*second)).GetVersion())
}

// Guards against a snapshot that changes while it is encoded.
func TestStoredMessagesAreImmutable(t *testing.T) {
	var d Deploy
	n := d.Start(order("v2", second)).GetVersion()
	before := d.Rollouts()[0]
	must.Eq(t, OK, advance(&d, n, wire.Rollout_PHASE_SHIFT))
	must.Eq(t, wire.Rollout_PHASE_CANARY, before.GetPhase())
}

// Guards against a base version without a name, which would stand for any version: the target
// version would get its full share at once.
func TestUnversionedPool(t *testing.T) {
	var d Deploy
	must.Eq(t, OK, d.Start(order("v2", second)).GetCode())
	must.Eq(t, Unversioned, d.Rollouts()[0].GetBase())
	must.Eq(t, Unversioned, d.Versions()[0].GetVersion())
}

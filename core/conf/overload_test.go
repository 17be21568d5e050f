package conf

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/pool"
	"azurelane/core/route"
)

// Guards against deployments that are served another way although nothing in their configuration asks for
// it, and against switches that the setting overrides.
func TestSetOverload(t *testing.T) {
	off := false
	to := func(p string, objective, timeout time.Duration) route.Route {
		return route.Route{Objective: objective, Timeout: timeout, Split: []route.Share{{Pool: p, Weight: 1}}}
	}
	stream := func(r route.Route) route.Route {
		r.Stream = true
		return r
	}
	for _, tc := range []struct {
		name   string
		from   time.Duration
		routes []route.Route
		own    *bool
		want   bool
	}{
		{"half of the routes", 10 * time.Second, []route.Route{to("p", time.Second, 12*time.Second), to("p", time.Second, 3*time.Second)}, nil, true},
		{"off", 0, []route.Route{to("p", time.Second, 12*time.Second)}, nil, false},
		{"off for this pool", 10 * time.Second, []route.Route{to("p", time.Second, 12*time.Second)}, &off, false},
		{"one of three", 10 * time.Second, []route.Route{to("p", time.Second, 6*time.Second), to("p", time.Second, 4*time.Second), to("p", time.Second, 15*time.Second)}, nil, false},
		{"one timeout changes", 10 * time.Second, []route.Route{to("p", time.Second, 10*time.Second), to("p", time.Second, 12*time.Second), to("p", time.Second, 12*time.Second)}, nil, true},
		{"plain routes of a pool with streams", 10 * time.Second, []route.Route{stream(to("p", time.Second, 15*time.Second)), to("p", time.Second, time.Second), to("p", time.Second, time.Second)}, nil, true},
		{"never late", 10 * time.Second, []route.Route{to("p", 0, 15*time.Second)}, nil, false},
		{"another pool", 10 * time.Second, []route.Route{to("q", time.Second, 15*time.Second)}, nil, false},
	} {
		c := &Config{Pools: map[string]pool.Pool{"p": {LateService: tc.own}}, Routes: tc.routes}
		c.SetOverload(tc.from)
		late, _, _ := c.Pools["p"].Overload()
		must.Eq(t, tc.want, late, must.Sprint(tc.name))
		must.False(t, c.Pools["p"].LiveSpeeds(), must.Sprint(tc.name))
	}
}

// Guards against a worth of lateness that would put late answers before those in time.
func TestLateWorthOutOfRange(t *testing.T) {
	for _, worth := range []float64{-0.1, 1.1} {
		c := &Config{Pools: map[string]pool.Pool{"p": {ByRoute: true}}, Routes: []route.Route{{Prefix: "/", Timeout: time.Second, Split: []route.Share{{Pool: "p", Weight: 1}}, LateWorth: &worth}}}
		err := c.Check()
		must.ErrorIs(t, err, ErrInvalid)
		must.StrContains(t, err.Error(), "/routes/0/late-worth")
	}
}

package conf

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const good = `{"client-accounts":{"a":{"key-sha256":"7e9f8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e"}},"tiers":{"t":{"level":1}},"pools":{"p":{"models":["m"]}}}`

func TestParseRefuses(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", `"level":1`, `"level":1,"deadlines":"1s"`, "/tiers/t/deadlines: unknown key"},
		{"span without a unit", `"level":1`, `"level":1,"deadline":5`, `/tiers/t/deadline: expected a span such as "1.5s"`},
		{"wrong type", `"level":1`, `"level":"urgent"`, "/tiers/t/level: expected 0, 1 or 2"},
		{"wrong element", `["m"]`, `["m",2]`, "/pools/p/models/1: expected names, each in one pool only"},
		{"account is no object", `"a":{`, `"b":7,"a":{`, "/client-accounts/b: expected an object"},
		{"hash", "7e9f", "7x9f", "/client-accounts/a/key-sha256: expected 64 hex digits"},
		{"one key, two accounts", `"client-accounts":{`, `"client-accounts":{"b":{"key-sha256":"7E9F8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e"},`, "/client-accounts/b/key-sha256: expected a key of its own, not that of a"},
		{"negative limit", `"key-sha256"`, `"max-waiting":-1,"key-sha256"`, "/client-accounts/a: expected a weight and limits of 0 or more"},
		{"negative deadline", `"level":1`, `"level":1,"deadline":"-1s"`, "/tiers/t/deadline: expected a span of 0 or more"},
		{"negative keep", `"tiers":{`, `"claim-keep":"-1s","tiers":{`, "/claim-keep"},
		{"level out of range", `"level":1`, `"level":3`, "/tiers/t/level: expected 0, 1 or 2"},
		{"tier unknown", `"key-sha256"`, `"tiers":["x"],"key-sha256"`, "/client-accounts/a/tiers: expected names of tiers, not x"},
		{"moves of plain servers", `"models":["m"]`, `"models":["m"],"migrate":true`, "/pools/p/migrate: expected false"},
		{"moves off slow engines without migrate", `"models":["m"]`, `"models":["m"],"slots":1,"scheduler":"batch","rebalance":true`, "/pools/p/rebalance: expected false, as streams of the pool do not move"},
		{"moves off slow engines by another policy", `"models":["m"]`, `"models":["m"],"slots":1,"migrate":true,"rebalance":true`, "/pools/p/rebalance: expected false, unless scheduler is batch"},
		{"moves without the time of handles", `"models":["m"]`, `"models":["m"],"slots":1,"moves":true,"migrate":true`, "/pools/p/handle-time: expected a span over 0"},
		{"time of handles below 0 on routes", `"models":["m"]`, `"by-route":true,"handle-time":"-1s"`, "/pools/p/handle-time: expected a span over 0"},
		{"neither models nor service", `"models":["m"]`, ``, "/pools/p: expected either models or a service"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			doc := strings.Replace(good, tc.old, tc.new, 1)
			must.NotEq(t, good, doc)
			_, err := Parse([]byte(doc))
			must.ErrorIs(t, err, ErrInvalid)
			must.StrContains(t, err.Error(), tc.want)
		})
	}
	_, err := Parse([]byte(good))
	must.NoError(t, err)
}

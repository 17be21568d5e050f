package conf

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRoutes(t *testing.T) {
	const head = `{"client-accounts": {"a": {"more-keys-sha256": []}}, "tiers": {}, "pools": {"p": {"by-route": true}}, "routes": [`
	for _, tc := range []struct{ name, routes, want string }{
		{"good", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"p","weight":1}],"timeout":"1s"}`, ""},
		{"no slash", `{"name":"r","host":"h","prefix":"/x","split":[{"pool":"p","weight":1}],"timeout":"1s"}`, "/routes/0/prefix"},
		{"no timeout", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"p","weight":1}],"timeout":"0s"}`, "/routes/0/timeout"},
		{"unknown pool", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"q","weight":1}],"timeout":"1s"}`, "/routes/0/split"},
		{"no weight", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"p","weight":0}],"timeout":"1s"}`, "/routes/0/split"},
		{"weight below 0", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"p","weight":-1},{"pool":"p","weight":2}],"timeout":"1s"}`, "/routes/0/split"},
		{"same place", `{"name":"r","host":"h","prefix":"/x/","split":[{"pool":"p","weight":1}],"timeout":"1s"},
			{"name":"s","host":"h","prefix":"/x/","split":[{"pool":"p","weight":1}],"timeout":"1s"}`, "/routes/1/prefix"},
		{"same place, written otherwise", `{"name":"r","host":"h.example","prefix":"/x/","split":[{"pool":"p","weight":1}],"timeout":"1s"},
			{"name":"s","host":"H.Example.","prefix":"/%78/","split":[{"pool":"p","weight":1}],"timeout":"1s"}`, "/routes/1/prefix"},
	} {
		_, err := Parse([]byte(head + tc.routes + `]}`))
		if tc.want == "" {
			must.NoError(t, err, must.Sprint(tc.name))
			continue
		}
		must.ErrorIs(t, err, ErrInvalid, must.Sprint(tc.name))
		must.StrContains(t, err.Error(), tc.want)
	}
}

package keys

import (
	"net/netip"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFind(t *testing.T) {
	list := []Key{{Path: "/node"}, {Path: "/pools/*/models"}, {Path: "/control"}}
	for _, tc := range []struct {
		path, key string
	}{
		{"/node", "/node"},
		{"/nodes", ""},
		{"/pools/demo/models", "/pools/*/models"},
		{"/pools/demo/models/3", "/pools/*/models"},
		{"/pools/demo", ""},
		{"/control/0", "/control"},
		{"/control/name", ""},
	} {
		k, _ := Find(list, tc.path)
		must.Eq(t, tc.key, k.Path, must.Sprint(tc.path))
	}
}

func TestPaths(t *testing.T) {
	type part struct {
		Ratio float64 `json:"ratio,omitzero"`
	}
	type doc struct {
		Addr  netip.AddrPort  `json:"addr"`
		List  []string        `json:"list,omitempty"`
		Part  part            `json:"part"`
		Named map[string]part `json:"named"`
		Flag  *bool           `json:"flag"`
		Own   int             `json:"-"`
	}
	must.Eq(t, []string{"/addr", "/list", "/part/ratio", "/named/*/ratio", "/flag"}, Paths(reflect.TypeFor[doc]()))
}

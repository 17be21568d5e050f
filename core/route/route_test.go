package route

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMatch(t *testing.T) {
	table := NewTable([]Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example:8080", "/x/", "short"},
		{"A.Example", "/q", "root"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		must.Eq(t, tc.want, got, must.Sprint(tc))
	}
}

// Guards against routes that are acknowledged and never in force, because the configuration writes the
// host or the path otherwise than requests do, and against requests that take another route because their
// path has an escaped slash.
func TestMatchAnyWayOfWriting(t *testing.T) {
	table := NewTable([]Route{
		{Name: "capitals", Host: "Lohu930.Example", Prefix: "/x/"},
		{Name: "dot", Host: "dot.example.", Prefix: "/"},
		{Name: "port", Host: "Port.example:81", Prefix: "/"},
		{Name: "any port", Host: "port.example", Prefix: "/"},
		{Name: "address", Host: "[::1]", Prefix: "/"},
		{Name: "escaped", Host: "p.example", Prefix: "/a%20b/%E4/"},
		{Name: "short", Host: "p.example", Prefix: "/a/"},
		{Name: "long", Host: "p.example", Prefix: "/a/b/"},
		{Name: "slash", Host: "p.example", Prefix: "/a/%2f/"},
		{Name: "percent", Host: "p.example", Prefix: "/%25/"},
	})
	for _, tt := range []struct{ host, path, want string }{
		{"lohu930.example", "/x/", "capitals"},
		{"Lohu930.Example:8080", "/x/1", "capitals"},
		{"LOHU930.EXAMPLE.", "/X/", ""},
		{"dot.example", "/", "dot"},
		{"dot.example.:80", "/", "dot"},
		{"port.example:81", "/", "port"},
		{"port.example:82", "/", "any port"},
		{"port.example", "/", "any port"},
		{"[::1]", "/", "address"},
		{"[::1]:80", "/", "address"},
		{"p.example", "/a%20b/%e4/1", "escaped"},
		{"p.example", "/%61%20b/%E4/1", "escaped"},
		{"p.example", "/%61/b/c", "long"},
		{"p.example", "/a/b%2Fc", "short"},
		{"p.example", "/a%2Fb/c", ""},
		{"p.example", "/a/%2F/c", "slash"},
		{"p.example", "/%25/c", "percent"},
		{"p.example", "/%/c", ""},
		{"p.example", "/a/%zz%2", "short"},
	} {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		must.Eq(t, tt.want, got, must.Sprint(tt))
	}
}

func TestSplit(t *testing.T) {
	r := Route{Split: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	n := map[string]int{}
	for range 10000 {
		n[r.Pool("")]++
	}
	must.Between(t, 8800, n["a"], 9200)
	must.Eq(t, 10000, n["a"]+n["b"])
	must.Eq(t, "", (&Route{}).Pool(""))
}

// Guards against a stream that is taken up in another pool than the one that began it.
func TestSplitByKey(t *testing.T) {
	r := Route{Split: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	n := map[string]int{}
	for i := range 10000 {
		key := fmt.Sprintf("%016x", i)
		n[r.Pool(key)]++
		must.Eq(t, r.Pool(key), r.Pool(key))
	}
	must.Between(t, 8800, n["a"], 9200)
	must.Eq(t, 10000, n["a"]+n["b"])
}

func TestRepeatable(t *testing.T) {
	for _, tc := range []struct {
		r    Route
		want bool
	}{
		{Route{}, false},
		{Route{Idempotent: true}, true},
		{Route{Stream: true}, false},
		{Route{Stream: true, Resumable: true}, true},
		{Route{Resumable: true}, false},
	} {
		must.Eq(t, tc.want, tc.r.Repeatable())
	}
}

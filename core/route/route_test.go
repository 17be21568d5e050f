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

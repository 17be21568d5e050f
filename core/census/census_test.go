package census

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestOnly(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for _, test := range []struct {
		name    string
		do      func(c *Census)
		version string
		ok      bool
	}{
		{"nothing known", func(*Census) {}, "", false},
		{"one version", func(c *Census) { c.Add(at(0), "a", "p", "v1"); c.Add(at(0), "b", "p", "v1") }, "v1", true},
		{"without a version", func(c *Census) { c.Add(at(0), "a", "p", "") }, "", true},
		{"other pool", func(c *Census) { c.Add(at(0), "a", "p", "v1"); c.Add(at(0), "b", "q", "v2") }, "v1", true},
		{"two versions", func(c *Census) { c.Add(at(0), "a", "p", "v1"); c.Add(at(0), "b", "p", "v2") }, "", false},
		{"other version left of late", func(c *Census) {
			c.Add(at(0), "a", "p", "v1")
			c.Add(at(0), "b", "p", "v2")
			c.Remove(at(15), "b")
		}, "", false},
		{"other version left long ago", func(c *Census) {
			c.Add(at(0), "a", "p", "v1")
			c.Add(at(0), "b", "p", "v2")
			c.Remove(at(5), "b")
		}, "v1", true},
		{"one of two upstreams left", func(c *Census) {
			c.Add(at(0), "a", "p", "v1")
			c.Add(at(0), "b", "p", "v1")
			c.Remove(at(15), "b")
			c.Remove(at(15), "b")
		}, "v1", true},
		{"another version under the same name", func(c *Census) { c.Add(at(0), "a", "p", "v1"); c.Add(at(15), "a", "p", "v2") }, "", false},
		{"all left of late", func(c *Census) { c.Add(at(0), "a", "p", "v1"); c.Remove(at(15), "a") }, "v1", true},
		{"not retained", func(c *Census) {
			c.Add(at(0), "a", "p", "v1")
			c.Add(at(0), "b", "p", "v2")
			c.Retain(at(5), func(id string) bool { return id == "b" })
		}, "v2", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var c Census
			test.do(&c)
			version, ok := c.Only(at(20), "p", 10*time.Second)
			must.Eq(t, test.ok, ok)
			if ok {
				must.Eq(t, test.version, version)
			}
		})
	}
}

// Guards against versions that are forgotten over a restart, or taken for present ones.
func TestFormer(t *testing.T) {
	start := time.Unix(100000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var c Census
	c.Add(at(0), "a", "p", "v2")
	c.AddFormer(at(20), "p", "v1", at(12))
	c.AddFormer(at(20), "p", "v1", at(5)) // An earlier time changes nothing.
	c.AddFormer(at(20), "p", "v2", at(12))
	c.AddFormer(at(20), "q", "v1", at(3))
	var list []string
	c.Former(func(pool, version string, left time.Time) {
		list = append(list, fmt.Sprint(pool, version, left.Sub(start)))
	})
	must.Eq(t, []string{"pv112s", "qv13s"}, list)
	_, ok := c.Only(at(20), "p", 10*time.Second)
	must.False(t, ok)
	version, ok := c.Only(at(30), "p", 10*time.Second)
	must.True(t, ok)
	must.Eq(t, "v2", version)

	for i := range 3 * formerLimit {
		c.AddFormer(at(30+i), "p", fmt.Sprint("w", i), at(30+i))
	}
	n, newest := 0, time.Time{}
	c.Former(func(pool, _ string, left time.Time) {
		if pool == "p" {
			n++
			newest = left
		}
	})
	must.Eq(t, formerLimit, n)
	must.Eq(t, at(30+3*formerLimit-1), newest)
}

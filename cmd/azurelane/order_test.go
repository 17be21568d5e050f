package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

// An operator orders an engine to load a model, loses the answer and sends the
// same order again: it is told that the order is over and nothing runs twice.
// Another order gets the next number.
func TestOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.upstream("engine-1", "demo", "demo")
	order := func(id string) error {
		return c.start("order", "load-model", "demo-2", "--upstream", "engine-1",
			"--control", c.replicas(), "--id", id, "--limit", "5s").Wait()
	}
	c.until("first order done", func() bool { return order("o1") == nil })
	must.Error(t, order("o1"))
	must.NoError(t, order("o2"))
}

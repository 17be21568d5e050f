package ledger

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against lines that mix accounts or kinds, that count units twice, or that grow with the
// number of accounts.
func TestTake(t *testing.T) {
	var l Ledger
	l.Add("radio", "taken", 5)
	l.Add("radio", "refused", 2)
	l.Add("radio", "taken", 6)
	l.Add("airline", "taken", 100)
	l.Add("drones", "refused", 3)
	l.Add("survey", "refused", 1)
	l.Add("", "refused", 9)
	must.Eq(t, []Line{{"drones", map[string]int64{"refused": 3}}, {"radio", map[string]int64{"refused": 2, "taken": 11}}}, l.Take("refused", 2))
	must.SliceEmpty(t, l.Take("refused", 2))
}

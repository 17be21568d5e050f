package score_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/call"
	"azurelane/io/result"
	"azurelane/io/rig/record"
	"azurelane/io/rig/score"
	"azurelane/io/rig/tally"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func res(id, account string, level, sent, total int, outcome, code string) result.Result {
	return result.Result{
		Call:    call.Call{Account: account, Level: level, Deadline: time.Second},
		Request: id, Sent: at(sent), Total: time.Duration(total) * time.Millisecond, Outcome: outcome, Code: code,
	}
}

// An alert refused at 110 ms counts as shed in favour of lower work only if
// work of the same account, sent before, reached an engine after that.
func TestShed(t *testing.T) {
	alert := res("1", "a", 0, 100, 10, "not-run", "account-limit")
	cases := []struct {
		name    string
		lower   result.Result
		arrived int
		shed    int
	}{
		{"kept waiting", res("2", "a", 2, 50, 500, "whole", ""), 300, 1},
		{"ran before", res("2", "a", 2, 50, 500, "whole", ""), 90, 0},
		{"came after", res("2", "a", 2, 200, 500, "whole", ""), 300, 0},
		{"another account's", res("2", "b", 2, 50, 500, "whole", ""), 300, 0},
		{"as urgent", res("2", "a", 0, 50, 500, "whole", ""), 300, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runs := []record.Record{{Request: "2", Arrived: at(c.arrived)}}
			s := score.Of([]result.Result{alert, c.lower}, runs, 0, nil, nil, "a")
			must.Eq(t, c.shed, s.Shed)
			must.Eq(t, 0, s.Late)
		})
	}
}

// A whole answer after its deadline is not good, and prompt work is wasted in
// the part that the engines counted as such meanwhile.
func TestFigures(t *testing.T) {
	results := []result.Result{
		res("1", "a", 0, 0, 900, "whole", ""), res("2", "b", 0, 0, 1100, "whole", ""),
		res("3", "b", 1, 0, 10, "not-run", "deadline"), res("4", "b", 2, 0, 10, "broken", ""),
	}
	before, after := []tally.Tally{{Prompt: 100, Wasted: 50}}, []tally.Tally{{Prompt: 500, Wasted: 150}}
	s := score.Of(results, nil, 0, before, after, "a")
	must.Eq(t, [score.Levels]int{1, 0, 0}, s.Good)
	must.Eq(t, [score.Levels]int{2, 1, 1}, s.Asked)
	must.Eq(t, map[string]int{"deadline": 1}, s.Refused)
	must.Eq(t, 1, s.Lost)
	must.Eq(t, 0.25, s.Wasted)
	must.Eq(t, 0, s.Others)
}

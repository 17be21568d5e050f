package meter

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against sending more than 1.5 times the limit plus five requests in any 4 s, and against
// sending much less than the upstream accepts.
func TestWithinTheLimit(t *testing.T) {
	const step, span = time.Millisecond, 4 * time.Second
	for _, rate := range []float64{0, 0.1, 1, 1.3, 8.9, 100} {
		for _, idle := range []time.Duration{0, time.Minute} {
			var m Meter
			m.SetLimit(start, rate, 1)
			var sent []time.Time
			for now := start.Add(idle); now.Before(start.Add(idle + 20*time.Second)); now = now.Add(step) {
				if m.CanSend(now) {
					m.Take(now)
					sent = append(sent, now)
				}
			}
			name := fmt.Sprint(rate, idle)
			for i, at := range sent {
				n := 0
				for _, later := range sent[i:] {
					if later.Sub(at) < span {
						n++
					}
				}
				must.LessEq(t, 1.5*rate*span.Seconds()+5, float64(n), must.Sprint(name))
			}
			must.GreaterEq(t, int(max(rate, minRate)*20)-1, len(sent), must.Sprint(name))
		}
	}
}

// Guards against limits that add tokens with each change, and against a limit that outlasts
// Unlimit.
func TestLimitChanges(t *testing.T) {
	var m Meter
	must.True(t, m.CanSend(start))
	n := 0
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		m.SetLimit(now, 2+float64(i%2), 1)
		if m.CanSend(now) {
			m.Take(now)
			n++
		}
	}
	must.Between(t, 8, n, 13)
	now := start.Add(4 * time.Second)
	for m.CanSend(now) {
		m.Take(now)
	}
	must.Positive(t, m.Wait(now))
	must.True(t, m.CanSend(now.Add(m.Wait(now)+time.Millisecond)))
	m.SetLimit(now, 8, 0)
	must.False(t, m.CanSend(now.Add(time.Minute)))
	must.Eq(t, time.Hour, m.Wait(now.Add(time.Minute)))
	m.Unlimit()
	must.True(t, m.CanSend(start))
	must.Eq(t, 0, m.Wait(start))
}

// Guards against a token that is kept while another entry has the share. Its request would be sent
// in addition to those of the other entry.
func TestNoTokensWithoutShare(t *testing.T) {
	var m Meter
	m.SetLimit(start, 1, 1)
	now := start.Add(time.Minute)
	must.True(t, m.CanSend(now))
	m.SetLimit(now, 1, 0)
	m.SetLimit(now, 1, 1)
	must.False(t, m.CanSend(now))
}

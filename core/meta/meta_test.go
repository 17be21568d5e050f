package meta

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The caller's estimate counts where it is below the most that it allows.
func TestTokens(t *testing.T) {
	for _, tc := range []struct {
		name           string
		answer, expect int64
		want           int64
	}{
		{"nothing known", 0, 0, 0},
		{"only the most", 400, 0, 400},
		{"only an estimate", 0, 120, 120},
		{"an estimate below the most", 400, 120, 120},
		{"an estimate above the most", 400, 900, 400},
	} {
		m := Meta{Answer: tc.answer, Expect: tc.expect}
		must.Eq(t, tc.want, m.Tokens(), must.Sprint(tc.name))
	}
}

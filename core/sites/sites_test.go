package sites

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	_ "azurelane/core/robin" // Registers the only policy in this test.
)

// Guards against accepting a misspelled policy of one site: its entries could not run the pool, and nothing
// would report it.
func TestServed(t *testing.T) {
	for _, tc := range []struct {
		name, overlay string
		ok            bool
	}{
		{"known", `{"pools":{"p":{"scheduler":"robin"}}}`, true},
		{"left out", `{}`, true},
		{"misspelt", `{"pools":{"p":{"scheduler":"robbin"}}}`, false},
	} {
		set, err := Parse([]byte(`{"base":{"client-accounts":{},"tiers":{},"pools":{"p":{"models":["m"]}}},"overlays":{"dc-1":` + tc.overlay + `}}`))
		must.NoError(t, err, must.Sprint(tc.name))
		err = set.Served()
		if tc.ok {
			must.NoError(t, err, must.Sprint(tc.name))
			continue
		}
		must.ErrorIs(t, err, conf.ErrInvalid)
		must.StrContains(t, err.Error(), `site "dc-1"`)
		must.StrContains(t, err.Error(), "/pools/p/scheduler: expected one of [robin]")
	}
}

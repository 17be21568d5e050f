package digest

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestOf(t *testing.T) {
	base := Of("radio", "h", "/a?x=1", []byte("body"))
	for _, tc := range []struct {
		name  string
		other Digest
		same  bool
	}{
		{"a copy", Of("radio", "h", "/a?x=1", []byte("body")), true},
		{"another account", Of("dispatch", "h", "/a?x=1", []byte("body")), false},
		{"another host", Of("radio", "g", "/a?x=1", []byte("body")), false},
		{"another query", Of("radio", "h", "/a?x=2", []byte("body")), false},
		{"another body", Of("radio", "h", "/a?x=1", []byte("bodies")), false},
		{"the same bytes in other parts", Of("radioh", "", "/a?x=1", []byte("body")), false},
	} {
		must.Eq(t, tc.same, base == tc.other, must.Sprint(tc.name))
	}
}

func TestParse(t *testing.T) {
	d := Of("radio", "h", "/a", nil)
	got, err := Parse(d.String())
	must.NoError(t, err)
	must.Eq(t, d, got)
	for _, text := range []string{"", "00", "zz", d.String() + "00"} {
		_, err := Parse(text)
		must.Error(t, err, must.Sprint(text))
	}
}

// Operators type digests. One that is read is printed as it was typed, in any case.
func FuzzParse(f *testing.F) {
	d := Of("a", "h", "/", nil)
	for _, text := range []string{d.String(), strings.ToUpper(d.String()), d.String()[1:], d.String() + "00", "", "zz"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(text)
		if err != nil {
			must.Eq(t, Digest{}, d)
			return
		}
		must.Eq(t, strings.ToLower(text), d.String())
	})
}

package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestNew(t *testing.T) {
	for _, tc := range []struct {
		name, format string
		level        int
		want         []string
	}{
		{"text", "text", 0, []string{`level=INFO msg="mesh: Peer lost." peer=a`}},
		{"detail", "", 1, []string{`level=INFO msg="mesh: Peer lost." peer=a`, `level=DEBUG msg="mesh: Peer tried." peer=b`}},
		{"json", "json", 0, []string{`"level":"INFO","msg":"mesh: Peer lost.","peer":"a"}`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var buf bytes.Buffer
			log, err := New(&buf, tc.format, tc.level)
			must.NoError(t, err)
			part := log.WithName("mesh")
			part.Info("Peer lost.", "peer", "a")
			part.V(1).Info("Peer tried.", "peer", "b")
			lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
			must.Len(t, len(tc.want), lines)
			for i, want := range tc.want {
				must.StrContains(t, lines[i], want)
			}
		})
	}
	_, err := New(nil, "xml", 0)
	must.Error(t, err)
}

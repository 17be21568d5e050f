package local

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/keys"
)

var update = flag.Bool("update", false, "write the reference of keys into docs/OPERATIONS.md")

const good = `{"node": "n", "data-centre": "z1", "data-centres": ["z1"], "peers": "10.0.0.1:7000", "seeds": ["10.0.0.1:80", "10.0.0.2:80"]}`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.json")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoad(t *testing.T) {
	n, err := Load(write(t, good))
	must.NoError(t, err)
	must.True(t, n.Founds())
	must.Eq(t, "10.0.0.2:7000", n.SeedPeers()[1].String())
	must.Eq(t, DefaultCatchUp, n.CatchUp)
	for _, tc := range []struct{ name, old, new, want string }{
		{"no name", `"n"`, `""`, "/node"},
		{"unknown key", `"node"`, `"nod": 1, "node"`, "/nod"},
		{"no address", `"10.0.0.1:7000"`, `"here"`, "/peers"},
		{"span without a unit", `"node"`, `"catch-up": 4, "node"`, "/catch-up"},
		{"span of 0", `"node"`, `"catch-up": "0s", "node"`, "spans over 0"},
		{"limit below 0", `"node"`, `"losses": -1, "node"`, "limits of 0 or more"},
	} {
		_, err := Load(write(t, strings.Replace(good, tc.old, tc.new, 1)))
		must.ErrorIs(t, err, ErrInvalid, must.Sprint(tc.name))
		must.StrContains(t, err.Error(), tc.want)
	}
}

// Guards against outdated seeds after the file has changed without a signal, and against losing them while it can't be
// read.
func TestReread(t *testing.T) {
	path := write(t, good)
	n, err := Load(path)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, "10.0.0.2:80", "10.0.0.3:80", 1)), 0o600))
	now, err := n.Reread()
	must.NoError(t, err)
	must.Eq(t, "10.0.0.3:7000", now.SeedPeers()[1].String())
	must.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	now, err = n.Reread()
	must.Error(t, err)
	must.Eq(t, "10.0.0.2:7000", now.SeedPeers()[1].String())
	must.Eq(t, 8*time.Second, now.DrainLimit)
}

// Checks that the reference for operators lists exactly the keys that are read.
func TestReference(t *testing.T) {
	const page = "../../docs/OPERATIONS.md"
	var paths []string
	for _, k := range Keys() {
		paths = append(paths, k.Path)
	}
	must.SliceContainsAll(t, paths, keys.Paths(reflect.TypeFor[Local]()))
	data, err := os.ReadFile(page)
	must.NoError(t, err)
	text, before, err := keys.Embed(string(data), "local", keys.Table(Keys()))
	must.NoError(t, err)
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(text), 0o600))
		return
	}
	must.Eq(t, keys.Table(Keys()), before)
}

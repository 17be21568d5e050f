package setup

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/keys"
)

const good = `{"node":"n","data-centre":"d","callers":"10.0.0.1:1","upstreams":"10.0.0.1:2","peers":"10.0.0.1:3","operator":"10.0.0.1:4","control":["10.0.0.2:3"]}`

func load(t *testing.T, doc string) (*Setup, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.json")
	must.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
	return Load(path)
}

func TestLoadRefuses(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           string // Key path and what was expected.
	}{
		{"unknown key", `"node":"n"`, `"node":"n","nodes":1`, "/nodes: unknown key"},
		{"unknown key inside", `"node":"n"`, `"node":"n","trace":{"rate":1}`, "/trace/rate: unknown key"},
		{"wrong type", `"node":"n"`, `"node":7`, "/node: expected a name"},
		{"no name", `"node":"n"`, `"node":""`, "/node: expected a name"},
		{"host name", "10.0.0.1:3", "host:3", "/peers: expected an IP address"},
		{"no port", "10.0.0.1:3", "10.0.0.1", "/peers: expected an IP address"},
		{"port zero", "10.0.0.1:3", "10.0.0.1:0", "/peers: expected an IP address"},
		{"unspecified peers", "10.0.0.1:3", "0.0.0.0:3", "/peers: expected an IP address with a port that other VMs can dial"},
		{"unspecified control", "10.0.0.2:3", "0.0.0.0:3", "/control: expected 1 to 7"},
		{"same address twice", "10.0.0.1:4", "10.0.0.1:1", "/operator: expected an IP address with a port, not that of another key"},
		{"same port, all addresses", "10.0.0.1:4", "0.0.0.0:1", "/operator: expected"},
		{"control twice", `["10.0.0.2:3"]`, `["10.0.0.2:3","10.0.0.2:3"]`, "/control: expected 1 to 7"},
		{"no control", `["10.0.0.2:3"]`, `[]`, "/control: expected 1 to 7"},
		{"seeds not a list", `"node":"n"`, `"node":"n","seeds":"10.0.0.3:3"`, "/seeds: expected addresses"},
		{"entry without upstreams", `"upstreams":"10.0.0.1:2",`, "", "/upstreams: expected"},
		{"control without folder", `"callers":"10.0.0.1:1","upstreams":"10.0.0.1:2",`, "", "/data-folder: expected"},
		{"span without a unit", `"node":"n"`, `"node":"n","drain-limit":30`, `/drain-limit: expected a span such as "40m"`},
		{"span of an unknown unit", `"node":"n"`, `"node":"n","drain-limit":"3 minutes"`, "/drain-limit: expected a span"},
		{"log format", `"node":"n"`, `"node":"n","log-format":"xml"`, "/log-format: expected text or json"},
		{"log level", `"node":"n"`, `"node":"n","log-level":5`, "/log-level: expected 0 or 1"},
		{"ratio", `"node":"n"`, `"node":"n","trace":{"ratio":2}`, "/trace/ratio: expected a number from 0 to 1"},
		{"trace is no object", `"node":"n"`, `"node":"n","trace":"x"`, "/trace: expected an object"},
		{"two exporters", `"node":"n"`, `"node":"n","trace":{"otlp":"http://x","file":"y"}`, "/trace/otlp: expected"},
		{"half of tls", `"node":"n"`, `"node":"n","tls":{"cert":"c"}`, "/tls/cert: expected"},
		{"token", `"node":"n"`, `"node":"n","operator-token-sha256":"secret"`, "/operator-token-sha256: expected 64 hex digits"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			doc := strings.Replace(good, tc.old, tc.new, 1)
			must.NotEq(t, good, doc)
			_, err := load(t, doc)
			must.ErrorIs(t, err, ErrInvalid)
			must.StrContains(t, err.Error(), "s.json")
			must.StrContains(t, err.Error(), tc.want)
		})
	}
}

func TestLoadDefaults(t *testing.T) {
	s, err := load(t, good)
	must.NoError(t, err)
	must.Eq(t, DefaultDrainLimit, s.DrainLimit)
	must.NoError(t, s.For(Entry))
	must.ErrorIs(t, s.For(Control), ErrInvalid)
	text, err := s.Print()
	must.NoError(t, err)
	for _, want := range []string{`"drain-limit": "40m0s"`, `"log-format": "text"`, `"log-level": 0`} {
		must.StrContains(t, text, want)
	}
}

func TestLoadExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*-[0-9].json")
	must.NoError(t, err)
	must.Len(t, 12, files)
	for _, f := range files {
		_, err := Load(f)
		must.NoError(t, err)
	}
}

var update = flag.Bool("update", false, "write the reference of keys into docs/OPERATIONS.md")

// The reference that operators read lists exactly the keys that are read.
func TestReference(t *testing.T) {
	const page = "../../docs/OPERATIONS.md"
	data, err := os.ReadFile(page)
	must.NoError(t, err)
	text := string(data)
	for _, ref := range []struct {
		mark string
		list []keys.Key
		of   reflect.Type
	}{
		{"settings", Keys(), reflect.TypeFor[Setup]()},
		{"configuration", conf.Keys(), reflect.TypeFor[conf.Config]()},
	} {
		var paths []string
		for _, k := range ref.list {
			paths = append(paths, k.Path)
		}
		must.SliceContainsAll(t, paths, keys.Paths(ref.of))
		updated, before, err := keys.Embed(text, ref.mark, keys.Table(ref.list))
		must.NoError(t, err)
		if *update {
			text = updated
			continue
		}
		must.Eq(t, keys.Table(ref.list), before)
	}
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(text), 0o600))
	}
}

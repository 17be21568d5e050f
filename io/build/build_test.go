package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// link builds a program in a folder and returns its identity.
func link(t *testing.T, dir, text string, flags ...string) string {
	t.Helper()
	src, out := filepath.Join(dir, "main.go"), filepath.Join(dir, "program")
	must.NoError(t, os.WriteFile(src, []byte(text), 0o600))
	cmd := exec.Command("go", append(append([]string{"build", "-o", out}, flags...), src)...)
	b, err := cmd.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(b)))
	return idOf(out)
}

// Guards against records that can't tell which build a process ran, as when an executable of an earlier
// checkout is left in place.
func TestBuildsDiffer(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("executables have another format")
	}
	const one, other = "package main\n\nfunc main() { println(1) }\n", "package main\n\nfunc main() { println(2) }\n"
	dir := t.TempDir()
	id := link(t, dir, one)
	must.NotEq(t, unknown, id)
	must.NotEq(t, id, link(t, dir, other))
	must.Eq(t, id, link(t, dir, one), must.Sprint("the same code"))
	must.NotEq(t, unknown, link(t, dir, one, "-ldflags=-linkmode=external"), must.Sprint("as in the deploy file"))
	must.NotEq(t, unknown, Read().ID)
	must.Eq(t, unknown, idOf(filepath.Join(t.TempDir(), "none")))
}

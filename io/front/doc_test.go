package front_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/pool"
)

var (
	docBlock = regexp.MustCompile("(?s)```http\n(.*?)\n?```\n+```http\n(.*?)\n?```")
	docID    = regexp.MustCompile(`(inc-\d+-\d+|[0-9a-f]{8})-\d+`)
)

// Each pair of blocks in docs/API.md is a request and its answer. The requests
// go to the real handler in the page's order; status, the headers that the page
// shows, and the body must be what the page says, but for request ids.
func TestExamplesOfThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	must.NoError(t, err)
	s := newSite(t, 1)
	s.cfg.Accounts["dev"] = account("dev-key")
	s.cfg.Pools["demo"] = pool.Pool{Models: []string{"demo"}}
	pairs := docBlock.FindAllStringSubmatch(string(page), -1)
	must.Positive(t, len(pairs))
	for _, p := range pairs {
		head, body, _ := strings.Cut(p[1], "\n\n")
		lines := strings.Split(head, "\n")
		first := strings.Fields(lines[0])
		r, err := http.NewRequest(first[0], s.entries[0].URL+first[1], strings.NewReader(body))
		must.NoError(t, err)
		for _, l := range lines[1:] {
			name, v, _ := strings.Cut(l, ": ")
			r.Header.Set(name, v)
		}
		resp, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		_ = resp.Body.Close()

		head, body, _ = strings.Cut(p[2], "\n\n")
		lines = strings.Split(head, "\n")
		must.Eq(t, lines[0], "HTTP/1.1 "+resp.Status)
		for _, l := range lines[1:] {
			name, v, _ := strings.Cut(l, ": ")
			got := resp.Header.Get(name)
			if resp.Trailer.Get(name) != "" {
				got = resp.Trailer.Get(name)
			}
			must.Eq(t, plain(v), plain(got), must.Sprint(p[1], name))
		}
		must.Eq(t, plain(body), plain(string(data)), must.Sprint(p[1]))
	}
}

func plain(s string) string { return strings.TrimSpace(docID.ReplaceAllString(s, "ID")) }

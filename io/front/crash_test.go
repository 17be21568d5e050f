package front_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a scheduler that is not told of a crash under a request, and against one
// that is told of a mere break.
func TestCrashIsTold(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes bool
	}{{"crashes", true}, {"breaks", false}} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				if tc.crashes {
					_ = ln.Close()
				}
				_ = c.Close()
			}()
			s := newSite(t, 1)
			s.granter.ups = []string{ln.Addr().String()}
			must.Eq(t, "unknown", s.entries[0].ask(ask{}).outcome)
			s.granter.mu.Lock()
			defer s.granter.mu.Unlock()
			must.Eq(t, tc.crashes, s.granter.last.GetCrashed())
			must.Len(t, 16, s.granter.last.GetDigest())
		})
	}
}

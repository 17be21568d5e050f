package main

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
	"azurelane/io/certs"
	"azurelane/io/mesh"
	"azurelane/io/mint"
	"azurelane/io/setup"
)

// secured is a deployment whose processes and operator have certificates.
type secured struct {
	*cluster
	entry *setup.Setup
	proc  *proc
}

func newSecured(t *testing.T) *secured {
	c := &cluster{t: t, dir: t.TempDir()}
	local := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	c.files = func(name string) certs.Certs {
		must.NoError(t, mint.Mint{Folder: c.dir}.Issue(name, local, time.Hour))
		return certs.Certs{Cert: filepath.Join(c.dir, name+".pem"), Key: filepath.Join(c.dir, name+"-key.pem"), CA: filepath.Join(c.dir, "ca.pem")}
	}
	c.controls(1)
	s := &secured{cluster: c, entry: c.entry(1)}
	sum := sha256.Sum256([]byte("secret"))
	s.entry.OperatorToken = hex.EncodeToString(sum[:])
	s.proc = newProc(t, c.dir, "entry-1", "entry", c.settings(s.entry))
	return s
}

// With TLS configured, someone who reaches the port of control without a
// certificate of the deployment can't read the state or change the
// configuration, and can't drain an entry. An operator with a certificate can;
// the entry follows control over the same links.
func TestTLS(t *testing.T) {
	t.Parallel()
	s := newSecured(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	other := mint.Mint{Folder: t.TempDir()}
	must.NoError(t, other.Issue("stranger", nil, time.Hour))
	stranger := certs.Certs{Cert: filepath.Join(other.Folder, "stranger.pem"), Key: filepath.Join(other.Folder, "stranger-key.pem"), CA: filepath.Join(s.dir, "ca.pem")}
	good, err := newOperator(s.control, tlsFlags(s.files("operator")))
	must.NoError(t, err)
	defer good.close()
	s.until("applied with a certificate", func() bool {
		_, err := good.apply(ctx, "first", 0, devConfig, "operator")
		return err == nil
	})
	strange, err := stranger.Config()
	must.NoError(t, err)
	for _, cfg := range []*tls.Config{nil, strange, s.bare()} {
		bad := &mesh.Mesh{TLS: cfg}
		for _, f := range []*wire.Frame{
			{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}},
			{Body: &wire.Frame_Command{Command: &wire.Command{Id: "evil", Kind: &wire.Command_Change{Change: &wire.Change{Base: 1, Document: devConfig}}}}},
		} {
			_, err = bad.Call(ctx, s.control[0], f)
			must.Error(t, err)
			must.NoError(t, ctx.Err())
		}
		bad.Close()
	}
	st, err := good.status(ctx)
	must.NoError(t, err)
	must.Eq(t, 1, st.GetVersion())
	s.until("entry ready", func() bool { return s.operatorStatus(http.MethodGet, "/ready", "", nil) == http.StatusOK })

	must.Eq(t, http.StatusUnauthorized, s.operatorStatus(http.MethodPost, "/v1/drain", "", nil))
	must.Eq(t, http.StatusUnauthorized, s.operatorStatus(http.MethodGet, "/v1/info", "guess", nil))
	must.Eq(t, http.StatusOK, s.operatorStatus(http.MethodGet, "/v1/info", "secret", nil))
	own, err := s.files("operator").Config()
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, s.operatorStatus(http.MethodGet, "/v1/info", "", own))
	ca := filepath.Join(s.dir, "ca.pem")
	must.Error(t, s.start("drain", s.entry.Operator.String(), "--ca", ca, "--token", "guess").Wait())
	must.Error(t, s.start("drain", s.entry.Operator.String(), "--token", "secret").Wait())
	must.NoError(t, s.start("drain", s.entry.Operator.String(), "--ca", ca, "--token", "secret").Wait())
	must.NoError(t, s.proc.cmd.Wait())
}

// bare knows the authority and has no certificate.
func (s *secured) bare() *tls.Config {
	cfg, err := s.files("reader").Config()
	must.NoError(s.t, err)
	cfg.GetClientCertificate = nil
	return cfg
}

// operatorStatus asks the entry's operators' port, with a certificate or
// with the authority alone.
func (s *secured) operatorStatus(method, path, token string, cfg *tls.Config) int {
	if cfg == nil {
		cfg = s.bare()
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(s.t.Context(), method, fmt.Sprintf("https://%s%s", s.entry.Operator, path), http.NoBody)
	must.NoError(s.t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

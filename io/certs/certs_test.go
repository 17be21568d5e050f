package certs

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/listen"
	"azurelane/io/mint"
)

// issue creates a certificate in a folder and returns its files.
func issue(t *testing.T, dir, name, addr string) Certs {
	t.Helper()
	must.NoError(t, mint.Mint{Folder: dir}.Issue(name, []netip.Addr{netip.MustParseAddr(addr)}, time.Hour))
	return Certs{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

func config(t *testing.T, c Certs) *tls.Config {
	t.Helper()
	cfg, err := c.Config()
	must.NoError(t, err)
	return cfg
}

// handshake connects over loopback and returns the error of each end. A client learns that its certificate was
// rejected only when it reads.
func handshake(t *testing.T, server, client *tls.Config) (string, error, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	served := make(chan error, 1)
	name := ""
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = conn.Close() }()
		s := tls.Server(conn, server)
		err = s.Handshake()
		if err == nil {
			name = s.ConnectionState().PeerCertificates[0].Subject.CommonName
			_, err = s.Write([]byte("x"))
		}
		served <- err
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	return name, <-served, err
}

// Guards against connections without a certificate of the deployment, and to a process at an address that its
// certificate does not contain.
func TestHandshake(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	server := config(t, issue(t, dir, "entry-1", "127.0.0.1"))
	moved := config(t, issue(t, dir, "entry-2", "10.0.0.2"))
	peer := config(t, issue(t, dir, "entry-3", "10.0.0.3"))
	stranger := config(t, issue(t, other, "entry-3", "10.0.0.3"))
	bare := peer.Clone()
	bare.GetClientCertificate = nil
	for _, tc := range []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"both certificates", server, peer, true},
		{"no certificate", server, bare, false},
		{"another authority", server, stranger, false},
		{"another address", moved, peer, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			name, served, dialled := handshake(t, tc.server, tc.client)
			if tc.ok {
				must.NoError(t, served)
				must.NoError(t, dialled)
				must.Eq(t, "entry-3", name)
				return
			}
			must.Error(t, served)
			must.Error(t, dialled)
		})
	}
}

// Guards against a renewed certificate that is not used, and against failing handshakes while its files are being
// replaced.
func TestRenewed(t *testing.T) {
	dir := t.TempDir()
	server := config(t, issue(t, dir, "entry-1", "127.0.0.1"))
	files := issue(t, dir, "old", "10.0.0.3")
	client := config(t, files)
	name, _, err := handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, "old", name)

	next := issue(t, dir, "new", "10.0.0.3")
	must.NoError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	must.NoError(t, os.Chtimes(files.Cert, time.Time{}, time.Now().Add(time.Minute)))
	name, _, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, "old", name)

	must.NoError(t, os.Rename(next.Key, files.Key))
	must.NoError(t, os.Rename(next.Cert, files.Cert))
	name, _, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, "new", name)
}

func TestConfigRefuses(t *testing.T) {
	dir := t.TempDir()
	good := issue(t, dir, "entry-1", "127.0.0.1")
	empty := filepath.Join(dir, "empty.pem")
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, tc := range []struct {
		name string
		c    Certs
	}{
		{"no authority", Certs{Cert: good.Cert, Key: good.Key, CA: "none.pem"}},
		{"empty authority", Certs{Cert: good.Cert, Key: good.Key, CA: empty}},
		{"no certificate", Certs{Cert: "none.pem", Key: good.Key, CA: good.CA}},
		{"another's key", Certs{Cert: good.Cert, Key: filepath.Join(dir, "ca-key.pem"), CA: good.CA}},
	} {
		_, err := tc.c.Config()
		must.Error(t, err, must.Sprint(tc.name))
	}
	cfg, err := Certs{}.Config()
	must.NoError(t, err)
	must.Nil(t, cfg)
}

// Guards against a file that is read while it is written, and of which a part counts as all: authorities, or a part
// of a chain, would be missing.
func TestCutFiles(t *testing.T) {
	good, other := issue(t, t.TempDir(), "entry-1", "127.0.0.1"), issue(t, t.TempDir(), "entry-2", "127.0.0.1")
	for _, tc := range []struct {
		name        string
		first, next string // Files that are joined.
		set         func(c *Certs, file string)
	}{
		{"authorities", good.CA, other.CA, func(c *Certs, file string) { c.CA = file }},
		{"chain", good.Cert, good.CA, func(c *Certs, file string) { c.Cert = file }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, err := os.ReadFile(tc.first)
			must.NoError(t, err)
			next, err := os.ReadFile(tc.next)
			must.NoError(t, err)
			c := good
			file := filepath.Join(t.TempDir(), "file.pem")
			tc.set(&c, file)
			whole := len(next) - len("\n") // The last line end adds nothing.
			for at := 1; at <= whole; at++ {
				must.NoError(t, os.WriteFile(file, append(bytes.Clone(first), next[:at]...), 0o600))
				_, err := c.Config()
				must.Eq(t, at == whole, err == nil, must.Sprintf("byte %d of %d: %v", at, whole, err))
			}
		})
	}
}

// Guards against resets at ports with TLS: a drained listener must return pending connections with TLS.
func TestWrappedListenerDrains(t *testing.T) {
	dir := t.TempDir()
	server, client := config(t, issue(t, dir, "entry-1", "127.0.0.1")), config(t, issue(t, dir, "entry-2", "127.0.0.1"))
	for _, tc := range []struct {
		name           string
		server, client *tls.Config
	}{
		{"plain", nil, nil},
		{"TLS", server, client},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			ln := listen.Of(Wrap(inner, tc.server))
			c, err := net.Dial("tcp", inner.Addr().String())
			must.NoError(t, err)
			if tc.client != nil {
				cfg := tc.client.Clone()
				cfg.ServerName = "127.0.0.1"
				c = tls.Client(c, cfg)
			}
			must.NoError(t, ln.Drain())
			accepted, err := ln.Accept()
			must.NoError(t, err)
			wrote := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("x"))
				wrote <- err
			}()
			n, err := accepted.Read(make([]byte, 1))
			must.NoError(t, err)
			must.Eq(t, 1, n)
			must.NoError(t, <-wrote)
			_, err = ln.Accept()
			must.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

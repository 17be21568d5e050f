// Package certs creates TLS configurations from certificate files, for links between processes and for operators.
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"

	"azurelane/io/listen"
)

var (
	// ErrNoAuthority is returned if the file of the authority contains no certificate.
	ErrNoAuthority = errors.New("certs: no certificate of an authority")
	// ErrCut is returned if a file ends inside a certificate.
	ErrCut = errors.New("certs: file ends inside a certificate")
)

var blockBegin = []byte("-----BEGIN ")

// Certs holds the file names of a process. The zero value means no TLS.
type Certs struct {
	Cert string `json:"cert,omitzero"` // PEM: certificate, with its chain.
	Key  string `json:"key,omitzero"`  // PEM: private key.
	CA   string `json:"ca,omitzero"`   // PEM: authorities that sign the deployment's certificates.
}

// On reports whether TLS is configured.
func (c Certs) On() bool { return c != Certs{} }

// Whole reports whether either all file names are set or none.
func (c Certs) Whole() bool { return !c.On() || c.Cert != "" && c.Key != "" && c.CA != "" }

// Config returns the configuration for both ends of a link, or nil without TLS. Both ends must present a
// certificate signed by the authority, and that of the accepting end must contain the dialled IP address.
//
// A renewed certificate is used from the next handshake on. A new authority requires a restart.
func (c Certs) Config() (*tls.Config, error) {
	if !c.On() {
		return nil, nil //nolint:nilnil // No TLS is a setting, not an error.
	}
	pool, err := authority(c.CA)
	if err != nil {
		return nil, err
	}
	p := &pair{Certs: c}
	if _, err := p.get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get() },
	}, nil
}

// Trust returns the configuration of a client that trusts the authority and presents no certificate.
func Trust(ca string) (*tls.Config, error) {
	pool, err := authority(ca)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

func authority(file string) (*x509.CertPool, error) {
	data, err := readBlocks(file)
	if err != nil {
		return nil, fmt.Errorf("certs: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w in %s", ErrNoAuthority, file)
	}
	return pool, nil
}

// readBlocks reads a PEM file. It may be in the middle of a replacement, and the readers of blocks pass over one that
// is cut.
func readBlocks(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err //nolint:wrapcheck // By the callers.
	}
	rest := data
	for block, next := pem.Decode(rest); block != nil; block, next = pem.Decode(rest) {
		rest = next
	}
	last := rest[bytes.LastIndexByte(rest, '\n')+1:]
	if bytes.Contains(rest, blockBegin) || len(last) > 0 && bytes.HasPrefix(blockBegin, last) {
		return nil, fmt.Errorf("%w: %s", ErrCut, file)
	}
	return data, nil
}

// load reads the certificate and its key.
func (c Certs) load() (tls.Certificate, error) {
	cert, err := readBlocks(c.Cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := os.ReadFile(c.Key)
	if err != nil {
		return tls.Certificate{}, err //nolint:wrapcheck // By the caller.
	}
	return tls.X509KeyPair(cert, key) //nolint:wrapcheck // By the caller.
}

// Operators returns the configuration of the operators' port, or nil without TLS. Clients need no certificate there,
// because of health checks; the handlers for operators authorize requests themselves.
func Operators(links *tls.Config) *tls.Config {
	if links == nil {
		return nil
	}
	cfg := links.Clone()
	cfg.ClientAuth = tls.VerifyClientCertIfGiven
	return cfg
}

// Wrap returns a listener that can be drained, with TLS unless cfg is nil.
func Wrap(ln net.Listener, cfg *tls.Config) net.Listener {
	l := listen.Of(ln)
	if cfg == nil {
		return l
	}
	return &secure{Listener: tls.NewListener(l, cfg), inner: l}
}

// secure is a TLS listener that can be drained.
type secure struct {
	net.Listener

	inner listen.Listen
}

// Drain drains the listener below TLS.
func (s *secure) Drain() error { return s.inner.Drain() }

// pair is a certificate with its key, read again after the file has changed.
type pair struct {
	Certs

	mu   sync.Mutex
	read os.FileInfo // Of the certificate's file as read.
	cert *tls.Certificate
}

// get returns the certificate. If a renewed one can't be read, the previous one is kept: its files may be in the
// middle of a replacement, and refusing all handshakes would cut the process off.
func (p *pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.Cert)
	if err == nil && p.cert != nil && same(info, p.read) {
		return p.cert, nil
	}
	if err == nil {
		var cert tls.Certificate
		if cert, err = p.load(); err == nil {
			p.cert, p.read = &cert, info
			return p.cert, nil
		}
	}
	if p.cert != nil {
		return p.cert, nil
	}
	return nil, fmt.Errorf("certs: %w", err)
}

// same reports whether a file has neither been replaced nor written. File times have a resolution of
// milliseconds: by the time alone, a certificate that was created right after the previous one and renamed into
// its place was not used until the next renewal.
func same(a, b os.FileInfo) bool {
	return os.SameFile(a, b) && a.Size() == b.Size() && a.ModTime().Equal(b.ModTime())
}

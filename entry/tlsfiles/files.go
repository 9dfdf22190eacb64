// Package tlsfiles builds TLS configurations from PEM files and reloads changed
// files without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	PeerCA      string // CA of the other entries; empty: no client certificate is required
}

// Source provides TLS configurations with the current content of the files. If a
// changed file cannot be loaded, the previous content stays in use. It is safe
// for concurrent use.
type Source struct {
	files         Files
	onReloadError func(error)

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [fileCount]stamp
	current   credentials
}

// fileCount is the number of paths in Files.
const fileCount = 3

// stamp identifies a version of a file, to detect changes.
type stamp struct {
	modified time.Time
	size     int64
}

// credentials are the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	peers       *x509.CertPool // nil without PeerCA
}

// Open reads the files. Without a certificate file it returns nil, and the
// listeners use plain TCP. onReloadError is called when a reload fails.
func Open(files Files, onReloadError func(error)) (*Source, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	s := &Source{files: files, onReloadError: onReloadError, lastCheck: time.Now()}
	s.stamps, _ = s.statFiles()
	var err error
	s.current, err = files.read()
	return s, err
}

func (f Files) read() (credentials, error) {
	var c credentials
	var err error
	if c.certificate, err = tls.LoadX509KeyPair(f.Certificate, f.Key); err != nil {
		return c, errors.Wrap(err, "tls.certificate_file and tls.key_file: supply a matching pair in PEM")
	}
	if f.PeerCA == "" {
		return c, nil
	}
	text, err := os.ReadFile(f.PeerCA)
	if err != nil {
		return c, errors.Wrap(err, "tls.peer_ca_file")
	}
	c.peers = x509.NewCertPool()
	if !c.peers.AppendCertsFromPEM(text) {
		return c, &EmptyCAError{File: f.PeerCA}
	}
	return c, nil
}

// EmptyCAError reports a CA file without certificates.
type EmptyCAError struct{ File string }

func (e *EmptyCAError) Error() string {
	return e.File + " holds no certificate: supply the CA of the entries in PEM"
}

// statFiles returns the stamps of the files and whether they differ from those of
// the loaded content.
func (s *Source) statFiles() (stamps [fileCount]stamp, changed bool) {
	for i, path := range [fileCount]string{s.files.Certificate, s.files.Key, s.files.PeerCA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps, stamps != s.stamps
}

// latest returns the content of the files. It reloads changed files, at most once
// every checkInterval.
func (s *Source) latest() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.current
	}
	s.lastCheck = time.Now()
	stamps, changed := s.statFiles()
	if !changed {
		return s.current
	}
	reloaded, err := s.files.read()
	if err != nil {
		s.onReloadError(err)
		return s.current
	}
	s.stamps = stamps
	s.current = reloaded
	return reloaded
}

// ServerListener wraps a listener in TLS. A nil Source returns the listener
// unchanged.
func (s *Source) ServerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return s.listener(l, func(c credentials) *tls.Config { return c.serverConfig() })
}

// PeerListener wraps a listener in TLS that requires a client certificate signed
// by PeerCA, if that is set. A nil Source returns the listener unchanged.
func (s *Source) PeerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return s.listener(l, func(c credentials) *tls.Config {
		config := c.serverConfig()
		if c.peers != nil {
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = c.peers
		}
		return config
	})
}

func (s *Source) listener(l net.Listener, build func(credentials) *tls.Config) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return build(s.latest()), nil
		},
	})
}

func (c credentials) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.certificate}}
}

// ClientConfig returns the TLS configuration for one connection to a peer, whose
// certificate must be valid for host.
func (s *Source) ClientConfig(host string) *tls.Config {
	c := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.peers,
	}
}

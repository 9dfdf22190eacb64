// Package tlsfiles builds TLS configurations from PEM files and takes changed
// files into use without a restart.
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

// checkInterval is the pause between two looks at the files.
const checkInterval = time.Second

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	PeerCA      string // of the other entries; empty: they show no certificate
}

// Source gives TLS configurations that hold the present content of the files.
// A changed file that cannot be read leaves the former content in force. It
// is safe for concurrent use.
type Source struct {
	files         Files
	onReloadError func(error)

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [fileCount]stamp
	current   credentials
}

// fileCount is the number of files that Files names.
const fileCount = 3

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// credentials is the content of the files.
type credentials struct {
	certificate tls.Certificate
	peers       *x509.CertPool // nil without PeerCA
}

// Open reads the files. It returns nil without a certificate file: the
// listeners then speak plain TCP. failed is told of reloads that fail.
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
	var m credentials
	var err error
	if m.certificate, err = tls.LoadX509KeyPair(f.Certificate, f.Key); err != nil {
		return m, errors.Wrap(err, "tls.certificate_file and tls.key_file: supply a matching pair in PEM")
	}
	if f.PeerCA == "" {
		return m, nil
	}
	text, err := os.ReadFile(f.PeerCA)
	if err != nil {
		return m, errors.Wrap(err, "tls.peer_ca_file")
	}
	m.peers = x509.NewCertPool()
	if !m.peers.AppendCertsFromPEM(text) {
		return m, &EmptyCAError{File: f.PeerCA}
	}
	return m, nil
}

// EmptyCAError reports a CA file without certificates.
type EmptyCAError struct{ File string }

func (e *EmptyCAError) Error() string {
	return e.File + " holds no certificate: supply the CA of the entries in PEM"
}

// statFiles returns the stamps of the files and whether they differ.
func (s *Source) statFiles() (now [fileCount]stamp, differ bool) {
	for i, path := range [fileCount]string{s.files.Certificate, s.files.Key, s.files.PeerCA} {
		if info, err := os.Stat(path); err == nil {
			now[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return now, now != s.stamps
}

// latest returns the content of the files, reading them again if they have
// changed.
func (s *Source) latest() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.current
	}
	s.lastCheck = time.Now()
	stamps, differ := s.statFiles()
	if !differ {
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

// ServerListener wraps a listener in TLS. A nil Source returns it as it is.
func (s *Source) ServerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return s.listener(l, func(m credentials) *tls.Config { return m.serverConfig() })
}

// PeerListener wraps a listener in TLS that asks for the certificate of a peer.
// A nil Source returns it as it is.
func (s *Source) PeerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return s.listener(l, func(m credentials) *tls.Config {
		config := m.serverConfig()
		if m.peers != nil {
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = m.peers
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

func (m credentials) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}}
}

// ClientConfig returns the configuration for one connection to a peer, whose
// certificate must name host.
func (s *Source) ClientConfig(host string) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.peers,
	}
}

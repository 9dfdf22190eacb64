package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a certificate authority for certificates of 127.0.0.1.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write writes a new certificate with the given serial number, its key and the
// CA certificate to the files.
func (a *authority) write(files Files, serial int64) {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.put(files.Certificate, "CERTIFICATE", der)
	a.put(files.Key, "EC PRIVATE KEY", private)
	a.put(files.PeerCA, "CERTIFICATE", a.cert.Raw)
}

func (a *authority) put(path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func filesIn(dir string) Files {
	return Files{
		Certificate: filepath.Join(dir, "cert"),
		Key:         filepath.Join(dir, "key"),
		PeerCA:      filepath.Join(dir, "ca"),
	}
}

func open(t *testing.T, files Files) *Source {
	s, err := Open(files, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// acceptHandshakes accepts connections and completes their handshakes until the
// listener is closed.
func acceptHandshakes(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if c.(*tls.Conn).Handshake() == nil {
				_, _ = c.Write([]byte("x"))
			}
		}()
	}
}

// dialSerial connects and returns the serial number of the server's certificate.
func dialSerial(address string, config *tls.Config) (int64, error) {
	c, err := tls.Dial("tcp", address, config)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	files, foreign := filesIn(t.TempDir()), filesIn(t.TempDir())
	trusted.write(files, 7)
	untrusted.write(foreign, 8)
	source := open(t, files)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := source.PeerListener(plain)
	defer l.Close()
	go acceptHandshakes(l)
	address := l.Addr().String()
	if got, err := dialSerial(address, source.ClientConfig("127.0.0.1")); err != nil || got != 7 {
		t.Errorf("serial %d, error %v", got, err)
	}
	anonymous := source.ClientConfig("127.0.0.1")
	anonymous.Certificates = nil
	if _, err := dialSerial(address, anonymous); err == nil {
		t.Error("a peer without a certificate was accepted")
	}
	intruder := open(t, foreign).ClientConfig("127.0.0.1")
	intruder.RootCAs = source.ClientConfig("").RootCAs
	if _, err := dialSerial(address, intruder); err == nil {
		t.Error("a peer with a certificate of another authority was accepted")
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	authority := newAuthority(t)
	files := filesIn(t.TempDir())
	authority.write(files, 1)
	s := open(t, files)
	currentSerial := func() int64 {
		s.lastCheck = time.Time{}
		leaf, err := x509.ParseCertificate(s.latest().certificate.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	authority.write(files, 2)
	later := time.Now().Add(time.Second)
	if err := os.Chtimes(files.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	if got := currentSerial(); got != 2 {
		t.Errorf("serial %d after the change", got)
	}
	if err := os.WriteFile(files.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := currentSerial(); got != 2 {
		t.Errorf("serial %d after a change to an invalid file", got)
	}
}

package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxAdminReply bounds a reply of an entry, in bytes.
const maxAdminReply = 64 << 20

// adminFlags reach the administration API of entries.
type adminFlags struct {
	tokenFile string
	caFile    string
	timeout   time.Duration
}

func (a *adminFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&a.tokenFile, "token-file", "", "`file` that holds the operator token (default: no token)")
	flags.StringVar(&a.caFile, "ca-file", "", "PEM `file` of the certificates that entries are signed by; makes the connection TLS (default: plain TCP)")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "longest wait for one entry, with its unit, as in 10s")
}

// adminClient speaks to the administration API of entries.
type adminClient struct {
	http   *http.Client
	scheme string
	token  string
}

func (a *adminFlags) client() (*adminClient, error) {
	c := &adminClient{http: &http.Client{Timeout: a.timeout}, scheme: "http"}
	if a.tokenFile != "" {
		token, err := os.ReadFile(a.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator token: name a readable file")
		}
		c.token = strings.TrimSpace(string(token))
	}
	if a.caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificates: name a readable file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate: write it in PEM", a.caFile)
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// entryError says that an entry did not do what was asked.
type entryError struct {
	address string
	what    string
}

func (e *entryError) Error() string {
	return fmt.Sprintf("entry at %s: %s", e.address, e.what)
}

// problemBody is the part of an error reply that is shown.
type problemBody struct {
	Detail string `json:"detail"`
}

// call makes one request and decodes its reply, if a reply is wanted.
func (c *adminClient) call(ctx context.Context, method, address, path string, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, nil)
	if err != nil {
		return usagef("address %q: write it as host:port", address)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &entryError{address: address, what: "not reached: check the address and the process: " + err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminReply))
	if err != nil {
		return &entryError{address: address, what: "the reply broke off: try again: " + err.Error()}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var problem problemBody
		_ = json.Unmarshal(body, &problem) // the status says enough without it
		return &entryError{address: address, what: fmt.Sprintf("status %d: %s", response.StatusCode, problem.Detail)}
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(body, reply)
}

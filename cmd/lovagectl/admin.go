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

// maxAdminReply limits the size of a reply of an entry, in bytes.
const maxAdminReply = 64 << 20

// adminFlags holds the flags of commands that call the administration API of
// entries.
type adminFlags struct {
	tokenFile string
	caFile    string
	timeout   time.Duration
}

func (f *adminFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.tokenFile, "token-file", "", "`file` that holds the operator token (default: no token)")
	flags.StringVar(&f.caFile, "ca-file", "", "PEM `file` with the CA certificates that sign the entries' certificates; enables TLS (default: plain TCP)")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "timeout of the request to one entry, with its unit, as in 10s")
}

// adminClient is a client of the administration API of entries.
type adminClient struct {
	http   *http.Client
	scheme string
	token  string
}

func (f *adminFlags) client() (*adminClient, error) {
	c := &adminClient{http: &http.Client{Timeout: f.timeout}, scheme: "http"}
	if f.tokenFile != "" {
		token, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator token: name a readable file")
		}
		c.token = strings.TrimSpace(string(token))
	}
	if f.caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(f.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificates: name a readable file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate: write it in PEM", f.caFile)
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// entryError reports a request that an entry did not carry out.
type entryError struct {
	address string
	problem string
}

func (e *entryError) Error() string {
	return fmt.Sprintf("entry at %s: %s", e.address, e.problem)
}

// problemBody holds the field of an error reply that is shown.
type problemBody struct {
	Detail string `json:"detail"`
}

// call sends one request and decodes the reply into reply, unless that is nil.
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
		return &entryError{address: address, problem: "not reached: check the address and the process: " + err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminReply))
	if err != nil {
		return &entryError{address: address, problem: "the reply is incomplete: try again: " + err.Error()}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var problem problemBody
		_ = json.Unmarshal(body, &problem) // the status alone is sufficient
		return &entryError{address: address, problem: fmt.Sprintf("status %d: %s", response.StatusCode, problem.Detail)}
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(body, reply)
}

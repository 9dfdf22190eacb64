// Package settings reads the TOML settings of an entry.
package settings

import "time"

// BalancerDelay is how long a planned stop waits for the balancer to poll /readyz.
// It is part of Limits.StopTimeout.
const BalancerDelay = 2 * time.Second

// Settings are the settings of one entry process.
type Settings struct {
	Name          string   `toml:"name"`
	Region        string   `toml:"region"`
	FailureDomain string   `toml:"failure_domain"`
	Listen        Listen   `toml:"listen"`
	Platform      Platform `toml:"platform"`
	Peers         Peers    `toml:"peers"`
	JobIDs        JobIDs   `toml:"job_ids"`
	Tokens        Tokens   `toml:"tokens"`
	TLS           TLS      `toml:"tls"`
	Limits        Limits   `toml:"limits"`
	Log           Log      `toml:"log"`
}

// Listen holds the listen addresses, host:port.
type Listen struct {
	Caller string `toml:"caller"` // caller API, /healthz, /readyz
	Peer   string `toml:"peer"`   // other entries
	Admin  string `toml:"admin"`  // operators, /metrics
}

// Platform holds the URL and the credentials of the platform.
type Platform struct {
	URL       string `toml:"url"`
	TokenFile string `toml:"token_file"` // empty: no token
}

// Peers are other entries that are known at the start.
type Peers struct {
	// Addresses of peer listeners, host:port. They are asked for the list of
	// VMs if the platform's list cannot be read at the start. May be empty.
	Addresses []string `toml:"addresses"`
}

// JobIDs holds the keys and the lifetime of job IDs.
type JobIDs struct {
	// KeyFiles hold the MAC keys in hexadecimal: one key of at least 32 bytes
	// in each file. The position of a file, starting at 1, is the key number.
	// The last key signs; all keys verify.
	KeyFiles []string      `toml:"key_files"`
	Lifetime time.Duration `toml:"lifetime"` // default 15m
}

// Tokens are files of bearer tokens, one "name token" pair per line. An empty
// path disables authentication and is allowed on loopback listeners only.
type Tokens struct {
	CallersFile   string `toml:"callers_file"`   // teams and their tokens
	OperatorsFile string `toml:"operators_file"` // operators and their tokens
	PeersFile     string `toml:"peers_file"`     // one token, shared by all entries
}

// TLS holds the paths of PEM files. Without a certificate file, connections are
// plain TCP.
type TLS struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	PeerCAFile      string `toml:"peer_ca_file"` // CA of the other entries
}

// Limits are the resource limits and the stop timeout of one entry.
type Limits struct {
	MaxWaitingTasks        int           `toml:"max_waiting_tasks"`        // default 10,000
	MaxBodyBytes           int           `toml:"max_body_bytes"`           // default 8 MiB
	ConnectionsPerEndpoint int           `toml:"connections_per_endpoint"` // default 64
	StopTimeout            time.Duration `toml:"stop_timeout"`             // default 30s
}

// Log configures the structured log.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error; default info
	File  string `toml:"file"`  // empty: standard error
}

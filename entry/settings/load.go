package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/tomlcheck"
)

// Defaults and bounds of the settings.
const (
	DefaultJobIDLifetime = 15 * time.Minute
	MinJobIDLifetime     = 10 * time.Second
	MaxJobIDLifetime     = 24 * time.Hour

	DefaultMaxWaitingTasks = 10_000
	maxWaitingTasks        = 10_000_000

	DefaultMaxBodyBytes = 8 << 20
	minBodyBytes        = 1 << 10
	maxBodyBytes        = 1 << 30

	DefaultConnectionsPerEndpoint = 64
	maxConnectionsPerEndpoint     = 4096

	DefaultStopTimeout = 30 * time.Second
	minStopTimeout     = time.Second
	maxStopTimeout     = time.Hour

	DefaultLogLevel = "info"
)

// Load reads the settings file at path. If its content is invalid, the error is a
// *tomlcheck.Problems that lists every problem.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings: name a readable file")
	}
	return Parse(path, text)
}

// Parse parses settings. file is the name of the text in errors.
func Parse(file string, text []byte) (Settings, error) {
	doc := tomlcheck.Parse(file, text)
	if doc.Failed() {
		return Settings{}, doc.Err()
	}
	root := doc.Root()
	t := openTables(root)
	s := Settings{
		Name:          parseName(root, "name"),
		Region:        parseName(root, "region"),
		FailureDomain: parseName(root, "failure_domain"),
		Listen:        parseListen(t.listen),
		Platform:      parsePlatform(t.platform),
		Peers:         parsePeers(t.peers),
		JobIDs:        parseJobIDs(t.jobIDs),
		Tokens:        parseTokens(t.tokens),
		TLS:           parseTLS(t.tls),
		Limits:        parseLimits(t.limits),
		Log:           parseLog(t.log),
	}
	root.RejectUnknown(rootRemedies)
	checkCombinations(s, t)
	return s, doc.Err()
}

// tables holds the TOML tables of the settings.
type tables struct {
	listen, platform, peers, jobIDs, tokens, tls, limits, log *tomlcheck.Table
}

func openTables(root *tomlcheck.Table) tables {
	return tables{
		listen:   root.Table("listen"),
		platform: root.Table("platform"),
		peers:    root.Table("peers"),
		jobIDs:   root.Table("job_ids"),
		tokens:   root.Table("tokens"),
		tls:      root.Table("tls"),
		limits:   root.Table("limits"),
		log:      root.Table("log"),
	}
}

var rootRemedies = map[string]string{
	"zone":              "use failure_domain",
	"availability_zone": "use failure_domain",
	"priority":          "remove it: urgency is inferred",
	"urgency":           "remove it: urgency is inferred",
}

func parseName(t *tomlcheck.Table, key string) string {
	name := t.String(key, tomlcheck.Required)
	if name != "" && !catalog.ValidName(name) {
		t.Add(key, "is not a valid name", catalog.NameRemedy)
	}
	return name
}

func parseListen(t *tomlcheck.Table) Listen {
	l := Listen{
		Caller: t.String("caller", tomlcheck.Required),
		Peer:   t.String("peer", tomlcheck.Required),
		Admin:  t.String("admin", tomlcheck.Required),
	}
	t.RejectUnknown(nil)
	return l
}

func parsePlatform(t *tomlcheck.Table) Platform {
	p := Platform{
		URL:       t.String("url", tomlcheck.Required),
		TokenFile: t.String("token_file", tomlcheck.Optional),
	}
	t.RejectUnknown(map[string]string{"token": "use token_file: secrets stay out of the settings"})
	return p
}

func parsePeers(t *tomlcheck.Table) Peers {
	p := Peers{Addresses: t.Strings("addresses")}
	t.RejectUnknown(nil)
	return p
}

func parseJobIDs(t *tomlcheck.Table) JobIDs {
	j := JobIDs{
		KeyFiles: t.Strings("key_files"),
		Lifetime: t.Duration("lifetime", tomlcheck.Optional, DefaultJobIDLifetime, MinJobIDLifetime, MaxJobIDLifetime),
	}
	t.RejectUnknown(map[string]string{"keys": "use key_files: secrets stay out of the settings"})
	return j
}

func parseTokens(t *tomlcheck.Table) Tokens {
	k := Tokens{
		CallersFile:   t.String("callers_file", tomlcheck.Optional),
		OperatorsFile: t.String("operators_file", tomlcheck.Optional),
		PeersFile:     t.String("peers_file", tomlcheck.Optional),
	}
	t.RejectUnknown(nil)
	return k
}

func parseTLS(t *tomlcheck.Table) TLS {
	s := TLS{
		CertificateFile: t.String("certificate_file", tomlcheck.Optional),
		KeyFile:         t.String("key_file", tomlcheck.Optional),
		PeerCAFile:      t.String("peer_ca_file", tomlcheck.Optional),
	}
	t.RejectUnknown(nil)
	return s
}

func parseLimits(t *tomlcheck.Table) Limits {
	l := Limits{
		MaxWaitingTasks: t.Int("max_waiting_tasks", tomlcheck.Optional, DefaultMaxWaitingTasks,
			tomlcheck.Range{Min: 1, Max: maxWaitingTasks}),
		MaxBodyBytes: t.Int("max_body_bytes", tomlcheck.Optional, DefaultMaxBodyBytes,
			tomlcheck.Range{Min: minBodyBytes, Max: maxBodyBytes}),
		ConnectionsPerEndpoint: t.Int("connections_per_endpoint", tomlcheck.Optional, DefaultConnectionsPerEndpoint,
			tomlcheck.Range{Min: 1, Max: maxConnectionsPerEndpoint}),
		StopTimeout: t.Duration("stop_timeout", tomlcheck.Optional, DefaultStopTimeout, minStopTimeout, maxStopTimeout),
	}
	t.RejectUnknown(nil)
	return l
}

func parseLog(t *tomlcheck.Table) Log {
	l := Log{
		Level: t.String("level", tomlcheck.Optional),
		File:  t.String("file", tomlcheck.Optional),
	}
	if l.Level == "" {
		l.Level = DefaultLogLevel
	}
	t.RejectUnknown(nil)
	return l
}

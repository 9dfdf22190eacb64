package settings

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"lovagespread.example/catalog/tomlcheck"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checkCombinations reports problems that involve several keys, and invalid
// values that the parsers of the tables do not detect.
func checkCombinations(s Settings, t tables) {
	checkListeners(s, t.listen)
	checkPlatform(s.Platform, t.platform)
	checkPeers(s.Peers, t.peers)
	checkJobIDs(s.JobIDs, t.jobIDs)
	checkTLS(s.TLS, t.tls)
	checkTokens(s, t.tokens)
	if !slices.Contains(logLevels, s.Log.Level) {
		t.log.Add("level", strconv.Quote(s.Log.Level)+" is not a level", "use one of "+strings.Join(logLevels, ", "))
	}
}

type listener struct {
	key     string
	address string
}

func checkListeners(s Settings, t *tomlcheck.Table) {
	listeners := []listener{{"caller", s.Listen.Caller}, {"peer", s.Listen.Peer}, {"admin", s.Listen.Admin}}
	for i, l := range listeners {
		if l.address == "" {
			continue
		}
		if !validAddress(l.address) {
			t.Add(l.key, strconv.Quote(l.address)+" is not a listen address", `write an IP address and a port, as in "10.0.0.5:8080"`)
			continue
		}
		for _, other := range listeners[:i] {
			if conflicting(l.address, other.address) {
				t.Add(l.key, "clashes with the address of "+other.key, "give each listener its own port")
			}
		}
	}
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return false
	}
	return host == "" || host == "localhost" || net.ParseIP(host) != nil
}

// conflicting reports whether two listen addresses cannot be used together.
func conflicting(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB || portA == "0" {
		return false
	}
	return hostA == hostB || isUnspecified(hostA) || isUnspecified(hostB)
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && (host == "localhost" || ip != nil && ip.IsLoopback())
}

func checkPlatform(p Platform, t *tomlcheck.Table) {
	if p.URL == "" {
		return
	}
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		t.Add("url", strconv.Quote(p.URL)+" is not an HTTP URL", `write it as "https://10.0.0.1:9000"`)
	}
}

func checkPeers(p Peers, t *tomlcheck.Table) {
	for i, address := range p.Addresses {
		if !validAddress(address) {
			t.AddElement("addresses", i, strconv.Quote(address)+" is not an address", `write an IP address and a port, as in "10.0.0.5:7200"`)
		}
	}
}

func checkJobIDs(j JobIDs, t *tomlcheck.Table) {
	if len(j.KeyFiles) == 0 {
		t.Add("key_files", "no key file", `add key_files = ["..."], files of at least 32 bytes in hexadecimal`)
	}
	for i, file := range j.KeyFiles {
		if slices.Index(j.KeyFiles, file) < i {
			t.AddElement("key_files", i, "the same file twice", "give each key number its own file")
		}
	}
}

func checkTLS(s TLS, t *tomlcheck.Table) {
	if s.CertificateFile != "" && s.KeyFile == "" {
		t.Add("key_file", "missing, but certificate_file is set", "add key_file or remove certificate_file")
	}
	if s.KeyFile != "" && s.CertificateFile == "" {
		t.Add("certificate_file", "missing, but key_file is set", "add certificate_file or remove key_file")
	}
	if s.PeerCAFile != "" && s.CertificateFile == "" {
		t.Add("peer_ca_file", "needs certificate_file and key_file", "add both or remove peer_ca_file")
	}
}

type tokenFile struct {
	key      string
	file     string
	listener string
	address  string
}

func checkTokens(s Settings, t *tomlcheck.Table) {
	files := []tokenFile{
		{"callers_file", s.Tokens.CallersFile, "caller", s.Listen.Caller},
		{"operators_file", s.Tokens.OperatorsFile, "admin", s.Listen.Admin},
		{"peers_file", s.Tokens.PeersFile, "peer", s.Listen.Peer},
	}
	for _, f := range files {
		if f.file == "" && validAddress(f.address) && !isLoopback(f.address) {
			t.Add(f.key, "missing, but the "+f.listener+" listener is not on loopback", "add "+f.key+" or listen on 127.0.0.1")
		}
	}
}

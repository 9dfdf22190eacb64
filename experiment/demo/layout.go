// Package demo writes the settings of a deployment on one VM: the stand-ins and
// the entries of each failure domain, all on free ports.
package demo

import (
	"bytes"
	crand "crypto/rand"
	"embed"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"text/template"

	"github.com/go-faster/errors"

	"lovagespread.example/standin/deployment"
)

// keyBytes is the length of the job-ID key in bytes.
const keyBytes = 32

// Permissions of the written files.
const (
	filePermissions = 0o644
	keyPermissions  = 0o600
)

//go:embed templates
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "templates/*"))

// Options describe the deployment.
type Options struct {
	Dir      string              // must exist
	Standins deployment.Settings // region, failure domains, workers and pools
	// EntriesPerDomain is the number of entries in each failure domain.
	EntriesPerDomain int
	Rand             *rand.Rand // random source for the choice of addresses
}

// Layout describes the written deployment.
type Layout struct {
	Dir      string
	Standins deployment.Settings
	Entries  []Entry
}

// Entry is one entry process.
type Entry struct {
	deployment.Entry
	Admin  string // host:port
	Config string // path of the settings file
	Log    string // path of the log file
}

// Platform returns the URL of the platform.
func (l Layout) Platform() string { return "http://" + l.Standins.Platform.Listen }

// KeyFile returns the path of the job-ID key.
func (l Layout) KeyFile() string { return filepath.Join(l.Dir, "job-id.key") }

// Write chooses ports and writes these files to the directory:
//
//	standin.toml       settings of lovage-standin
//	entry-NAME.toml    settings of each entry
//	job-id.key         key of the job IDs
//	layout.sh          the addresses as shell variables
func Write(opts Options) (Layout, error) {
	l := Layout{Dir: opts.Dir, Standins: opts.Standins}
	var err error
	if l.Standins.ServicesFile, err = filepath.Abs(l.Standins.ServicesFile); err != nil {
		return l, errors.Wrap(err, "path of the services file")
	}
	ports := newPortAllocator(opts.Rand)
	if err := l.allocateAddresses(ports, opts.EntriesPerDomain); err != nil {
		return l, err
	}
	if err := l.writeKey(); err != nil {
		return l, err
	}
	for _, entry := range l.Entries {
		if err := render("entry.toml", entry.Config, entryData{Layout: l, Entry: entry}); err != nil {
			return l, err
		}
	}
	if err := render("standin.toml", filepath.Join(l.Dir, "standin.toml"), l); err != nil {
		return l, err
	}
	return l, render("layout.sh", filepath.Join(l.Dir, "layout.sh"), l)
}

// entryData is the data of the template of an entry's settings.
type entryData struct {
	Layout
	Entry Entry
}

func (l *Layout) allocateAddresses(ports *portAllocator, entriesPerDomain int) error {
	s := &l.Standins
	if err := assignAddresses(ports, &s.ControlListen, &s.BalancerListen, &s.Platform.Listen); err != nil {
		return err
	}
	for _, domain := range s.FailureDomains {
		for i := range entriesPerDomain {
			entry, err := l.newEntry(ports, domain, i)
			if err != nil {
				return err
			}
			l.Entries = append(l.Entries, entry)
			s.Entries = append(s.Entries, entry.Entry)
		}
	}
	return nil
}

func (l *Layout) newEntry(ports *portAllocator, domain string, i int) (Entry, error) {
	name := fmt.Sprintf("entry-%s-%d", domain, i+1)
	e := Entry{
		Entry:  deployment.Entry{Name: name, FailureDomain: domain},
		Config: filepath.Join(l.Dir, name+".toml"),
		Log:    filepath.Join(l.Dir, name+".log"),
	}
	return e, assignAddresses(ports, &e.Caller, &e.Peer, &e.Admin)
}

func assignAddresses(ports *portAllocator, addresses ...*string) error {
	for _, address := range addresses {
		allocated, err := ports.allocate()
		if err != nil {
			return err
		}
		*address = allocated
	}
	return nil
}

func (l *Layout) writeKey() error {
	var key [keyBytes]byte
	_, _ = crand.Read(key[:]) // never fails
	text := hex.EncodeToString(key[:]) + "\n"
	if err := os.WriteFile(l.KeyFile(), []byte(text), keyPermissions); err != nil {
		return errors.Wrap(err, "write the job-ID key")
	}
	return nil
}

func render(name, file string, data any) error {
	var text bytes.Buffer
	if err := templates.ExecuteTemplate(&text, name, data); err != nil {
		return errors.Wrapf(err, "template %s", name)
	}
	if err := os.WriteFile(file, text.Bytes(), filePermissions); err != nil {
		return errors.Wrap(err, "write the layout")
	}
	return nil
}

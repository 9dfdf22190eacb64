// Package boundstest helps tests to compute sums of time limits, and to compare them with
// the tables of docs/design/run-bounds.md. It has the figures of the users' protocol and
// sites from which the limits are derived.
package boundstest

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the protocol and of the sites in force.
const (
	// CallerRetry is how long after it saw its connection break a caller sends its job
	// to another entry.
	CallerRetry = 1300 * time.Millisecond
	// MaxLease is the longest lease, on the endpoint's clock.
	MaxLease = time.Second
	// ClaimTime is how long after an entry was last heard the runs of its jobs may hold
	// leases. It is checked against the code.
	ClaimTime = CallerRetry - 100*time.Millisecond
	// SlowClock is how much longer the longest lease lasts on a clock that is 2% slow.
	SlowClock = MaxLease*100/98 - MaxLease
	// StopTime is how long a Stop takes at an endpoint.
	StopTime = 50 * time.Millisecond
	// Latency is the longest one-way latency between two entries of any site.
	Latency = 12 * time.Millisecond
	// Drift is how far two boot clocks that differ by 1e-4 drift apart over the 10 s for
	// which the smallest delay is remembered.
	Drift = time.Millisecond
	// Downtime is the shortest time for which a machine of any site is down.
	Downtime = 510 * time.Millisecond
)

// Figures of a large site, rsz-grown.
const (
	Entries      = 35 // in steady state
	MostEntries  = 41 // with the spare ones
	DomainPeers  = 15 // entries in the largest failure domain, with the spare ones
	JobsPerS     = 844
	TasksPerS    = 2998
	LargeEntries = 6 // which hold nearly all cells
	// CallerTimeout is how long a caller waits for a response.
	CallerTimeout = 1500 * time.Millisecond
)

// Reporter is the part of testing.T that the checks use.
type Reporter interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// Term is a named part of a sum.
type Term struct {
	Name  string
	Value time.Duration
}

func (t Term) String() string { return "`" + t.Name + "` " + milliseconds(t.Value) }

// Row is a sum that must not exceed its limit.
type Row struct {
	Name  string
	Terms []Term
	Limit Term
	// OwnTest is the test that fails because the sum exceeds its limit; empty: it does not.
	OwnTest string
}

// Sum returns the sum of the terms.
func (r *Row) Sum() time.Duration {
	var sum time.Duration
	for _, term := range r.Terms {
		sum += term.Value
	}
	return sum
}

// Margin returns by how much the sum is below its limit.
func (r *Row) Margin() time.Duration { return r.Limit.Value - r.Sum() }

// Check fails the test if the sum exceeds its limit.
func (r *Row) Check(t Reporter) {
	t.Helper()
	if r.Margin() < 0 {
		t.Errorf("%s: %s, over the limit of %s by %s ms", r.Name, r.cells()[1], r.Limit, milliseconds(-r.Margin()))
	}
}

// cells returns the cells of the row in the page, apart from the last one.
func (r *Row) cells() []string {
	terms := make([]string, len(r.Terms))
	for i, term := range r.Terms {
		terms[i] = term.String()
	}
	return []string{r.Name, strings.Join(terms, " + "), milliseconds(r.Sum()), r.Limit.String(), milliseconds(r.Margin())}
}

// milliseconds formats a time in milliseconds, rounded to a tenth.
func milliseconds(d time.Duration) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)), ".0")
}

// Find returns the row with a name.
func Find(t Reporter, rows []Row, name string) *Row {
	t.Helper()
	for i := range rows {
		if rows[i].Name == name {
			return &rows[i]
		}
	}
	t.Fatalf("no row %q", name)
	return nil
}

// CheckTable checks that the table of a section of a page has exactly the given rows, and says of
// those, and only those, whose sums exceed their limits that they do not hold.
func CheckTable(t Reporter, page, section string, rows []Row) {
	t.Helper()
	table := Table(t, page, section)
	for i, row := range rows {
		if i >= len(table) {
			t.Errorf("%q: no row | %s |", section, strings.Join(row.cells(), " | "))
			continue
		}
		const columns = 6
		if len(table[i]) != columns {
			t.Errorf("%q: row %q has %d columns, want %d", section, table[i], len(table[i]), columns)
			continue
		}
		if got, want := strings.Join(table[i][:columns-1], " | "), strings.Join(row.cells(), " | "); got != want {
			t.Errorf("%q: row\n%s\nwant\n%s", section, got, want)
		}
		fails := strings.HasPrefix(table[i][columns-1], "does not hold")
		if over := row.Margin() < 0; fails != over || fails != (row.OwnTest != "") || fails && !strings.Contains(table[i][columns-1], row.OwnTest) {
			t.Errorf("%q: row %q is %q, its margin is %v and its own test %q", section, row.Name, table[i][columns-1], row.Margin(), row.OwnTest)
		}
	}
	if len(table) > len(rows) {
		t.Errorf("%q: %d rows, want %d", section, len(table), len(rows))
	}
}

// Table returns the cells of the first table of a section of a page, without its head.
func Table(t Reporter, page, section string) [][]string {
	t.Helper()
	_, body, found := strings.Cut(page, "\n## "+section+"\n")
	if !found {
		t.Fatalf("no section %q", section)
	}
	body, _, _ = strings.Cut(body, "\n## ")
	var table [][]string
	for _, line := range strings.Split(body, "\n") {
		if !strings.HasPrefix(line, "|") {
			if len(table) > 0 {
				break
			}
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		table = append(table, cells)
	}
	const head = 2 // the names of the columns, and a line below them
	if len(table) < head {
		t.Fatalf("section %q has no table", section)
	}
	return table[head:]
}

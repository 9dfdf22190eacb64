package leased_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/admission"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Sizes of the scaled-down deployment A: a seventh of its load and endpoints.
const (
	siteDomains, siteCellsPerDomain = 3, 2
	siteEntriesPerDomain            = 4
	siteEndpointsPerDomain          = 17
	siteScale                       = 7.0
	siteHeartbeat                   = 110 * time.Millisecond
	siteAnnounce                    = 60 * time.Millisecond
	siteCallerTimeout               = 1500 * time.Millisecond
	// The processor time that a job takes at its holder on arrival, and if it is
	// run. Their sum is within the limit of 4 ms for a job.
	siteArrivalTime = 500 * time.Microsecond
	siteRunTime     = 1500 * time.Microsecond
)

// siteQueues is the load of deployment A.
var siteQueues = []jobKind{
	{"check", 0, 206 / siteScale, 8, 60 * time.Millisecond, 8 * 0.06},
	{"pickup", 2, 37.5 / siteScale, 4, 900 * time.Millisecond, 4 * 0.9},
	{"number", 1, 600 / siteScale, 2, 200 * time.Millisecond, 2 * 0.2},
}

// site is a deployment in virtual time: entries with membership by heartbeats,
// callers behind a balancer, and cores that hold cells.
type site struct {
	*simulation
	entries  []*siteEntry
	backlog  []*siteCall // of callers that found no entry
	calls    []*siteCall
	byTicket map[leased.Ticket]*siteCall
	free     map[cells.Cell][]int // last announced
	noStore  bool                 // entries that start read no records
	parts    siteParts
	// callersReturn makes callers whose connections break send their request again.
	callersReturn bool
}

// siteParts selects the parts that the entries of a site use.
type siteParts struct {
	recovery, admission bool
	sharing             bool // the demand is announced
}

type siteEntry struct {
	index     int
	self      cells.Entry
	roster    *cells.Roster
	view      *cells.View
	up        bool
	directory bool // the records of endpoints are known
	assigned  string
	busyUntil time.Duration // handles the jobs that have arrived
	run       int           // counts restarts
	sharedAt  time.Duration // when its demand was last announced
}

func newSite(t *testing.T, seed uint64, parts siteParts) *site {
	n := siteDomains * siteEntriesPerDomain
	s := &site{parts: parts, simulation: newSimulation(t, seed, n), byTicket: make(map[leased.Ticket]*siteCall), free: make(map[cells.Cell][]int)}
	s.skipDoubleRunCheck = true
	s.onAnswer = s.answered
	for i := range siteDomains * siteEndpointsPerDomain {
		domain := string(rune('a' + i%siteDomains))
		id := leased.EndpointID(fmt.Sprintf("%s%02d", domain, i))
		capacity := leased.Demand{MilliCores: 16_000 + 8000*(i/siteDomains%2), MemoryMiB: 64_000}
		s.addEndpoint(0, leased.Endpoint{ID: id, Address: string(id), Service: "s", FailureDomain: domain, Capacity: capacity})
	}
	for i := range n {
		s.entries = append(s.entries, &siteEntry{index: i})
		s.crashed[i] = true
		s.startEntry(i, 0)
		s.every(leased.TickInterval, func() { s.tickEntry(s.entries[i]) })
		s.every(siteHeartbeat, func() { s.heartbeat(s.entries[i], false) })
		s.every(siteAnnounce, func() { s.announceFree(s.entries[i]) })
	}
	s.every(10*time.Millisecond, s.admitBacklog)
	return s
}

// startEntry starts an entry. Its records arrive after readTime.
func (s *site) startEntry(i int, readTime time.Duration) {
	e := s.entries[i]
	e.run++
	run := e.run
	weights := []float64{0.192, 0.4, 0.8, 0.6}
	e.self = cells.Entry{
		Name: fmt.Sprintf("n%02d", i), Address: "x", FailureDomain: string(rune('a' + i%siteDomains)),
		Incarnation: cells.Incarnation(uint64(s.now.Milliseconds()+1)<<10 | uint64(i)), Weight: weights[i/siteDomains%len(weights)], Interval: siteHeartbeat,
	}
	e.up, e.directory, e.assigned, e.busyUntil = true, false, "", s.now
	e.roster = cells.New(e.self, simStart.Add(s.now))
	e.view = e.roster.View(simStart.Add(s.now))
	s.crashed[i] = false
	s.cores[i] = leased.New(leased.Options{
		MaxLease:  maxLease,
		NextToken: func(floor int64) int64 { s.lastToken = max(s.lastToken, floor) + 1; return s.lastToken },
		Yields: func(name string) bool {
			for _, c := range s.allCells() {
				if c.String() == name {
					return !e.view.Reclaims(c)
				}
			}
			return true
		},
	})
	s.cores[i].DisableParts()
	if s.parts.recovery {
		s.cores[i].EnableRecovery()
	}
	if s.parts.admission {
		s.cores[i].EnableAdmission()
	}
	s.heartbeat(e, true)
	s.after(readTime, func() { s.readRecords(e, run) })
}

func (s *site) readRecords(e *siteEntry, run int) {
	switch {
	case !e.up || e.run != run || e.directory:
	case !s.noStore || slices.ContainsFunc(s.entries, func(o *siteEntry) bool { return o.up && o.directory }):
		e.directory = true
	default:
		s.after(50*time.Millisecond, func() { s.readRecords(e, run) })
	}
}

func (s *site) allCells() (list []cells.Cell) {
	for d := range siteDomains {
		list = append(list, cells.All(string(rune('a'+d)), siteCellsPerDomain)...)
	}
	return list
}

func (s *site) heartbeat(e *siteEntry, hello bool) {
	if !e.up {
		return
	}
	for _, o := range s.entries {
		if o == e {
			continue
		}
		s.after(networkDelay, func() {
			if !o.up {
				return
			}
			o.roster.ReceiveHeartbeat(simStart.Add(s.now), e.self)
			if hello {
				s.after(networkDelay, func() {
					if e.up {
						e.roster.ReceiveHeartbeat(simStart.Add(s.now), o.self)
					}
				})
			}
		})
	}
}

func (s *site) tickEntry(e *siteEntry) {
	if !e.up {
		return
	}
	e.view = e.roster.View(simStart.Add(s.now))
	if !e.directory {
		return
	}
	var list []leased.Endpoint
	held := ""
	for _, c := range s.allCells() {
		if e.view.Holds(c) {
			held += c.String() + " "
		}
	}
	if held == e.assigned && !s.recordsChanged {
		return
	}
	e.assigned = held
	for _, spec := range s.specs {
		c := cells.ForEndpoint(spec.FailureDomain, string(spec.ID), siteCellsPerDomain)
		if e.view.Holds(c) {
			spec.Cell = c.String()
			list = append(list, spec)
		}
	}
	s.step(e.index, &leased.SetEndpoints{Endpoints: list})
}

func (s *site) announceFree(e *siteEntry) {
	if !e.up || !e.directory {
		return
	}
	var list []leased.FreeCapacity
	shared := s.sharedLoad(e)
	for _, c := range s.allCells() {
		if e.view.Holds(c) {
			free := s.cores[e.index].FreeCapacity(c.String(), 1000)
			s.free[c] = free
			list = append(list, leased.FreeCapacity{Holder: uint64(e.index + 1), Cell: c.String(), Free: free, Shared: shared})
		}
	}
	if len(list) == 0 {
		return
	}
	s.after(networkDelay, func() {
		for _, o := range s.entries {
			if o != e && o.up {
				copied := lo.Map(list, func(f leased.FreeCapacity, _ int) leased.FreeCapacity { f.Free = slices.Clone(f.Free); return f })
				s.step(o.index, &leased.AnnounceFreeCapacity{Announced: copied})
			}
		}
	})
}

// sharedLoad returns the load that an entry announces, as it arrives, or nil if it
// announces none now.
func (s *site) sharedLoad(e *siteEntry) *admission.SharedLoad {
	if !s.parts.sharing || s.now-e.sharedAt < leased.SharedInterval {
		return nil
	}
	load, ok := s.cores[e.index].SharedLoad()
	if !ok {
		return nil
	}
	e.sharedAt = s.now
	arrives, err := admission.DecodeLoad(load.Encode())
	if err != nil {
		s.t.Errorf("entry %d: %v", e.index, err)
	}
	return arrives
}

// powerOff stops all entries at once.
func (s *site) powerOff() {
	for _, e := range s.entries {
		e.up = false
		s.crashed[e.index] = true
	}
	s.delegations = make(map[leased.TaskID]delegation)
	for _, c := range s.calls {
		if c.answered > 0 || c.arrived == 0 {
			continue
		}
		if s.callersReturn {
			c.arrived, c.returned, c.id = 0, true, c.id+"r"
			s.backlog = append(s.backlog, c)
			continue
		}
		c.answered, c.verdict = s.now, leased.Abandoned // its connection broke
	}
	s.byTicket = make(map[leased.Ticket]*siteCall)
}

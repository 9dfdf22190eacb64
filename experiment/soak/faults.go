package soak

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
	"lovagespread.example/standin/fakestore"
	"lovagespread.example/standin/usersplatform"
)

// faultKind is a kind of fault. inject causes the fault, waits for the given
// duration and ends the fault. choice selects the entry or executor.
type faultKind struct {
	name   string
	inject func(s *soak, duration time.Duration, choice int)
	// cutsContact marks a fault during which an entry may be out of contact with the
	// store, and so need not know of an evacuation.
	cutsContact bool
}

// faultKinds are all kinds of faults. They act from outside the entries.
var faultKinds = []faultKind{
	{name: "entry killed", inject: func(s *soak, duration time.Duration, choice int) { s.kill(choice, duration) }},
	{name: "entry stopped", inject: func(s *soak, _ time.Duration, choice int) { s.stop(choice) }},
	{name: "entry paused", inject: func(s *soak, duration time.Duration, choice int) { s.pause(choice, duration) }, cutsContact: true},
	{name: "settings reloaded", inject: func(s *soak, _ time.Duration, choice int) { s.signal(choice, syscall.SIGHUP) }},
	{name: "configuration changed", inject: func(s *soak, _ time.Duration, _ int) { s.deployment.PublishConfiguration() }},
	{name: "store down", inject: storeFault(fakestore.Faults{Down: true}), cutsContact: true},
	{name: "store busy", inject: storeFault(fakestore.Faults{Busy: true}), cutsContact: true},
	{name: "store silent", inject: storeFault(fakestore.Faults{Hang: true}), cutsContact: true},
	{name: "store slow", inject: storeFault(fakestore.Faults{Delay: 300 * time.Millisecond})},
	{name: "store connections silent", inject: func(s *soak, _ time.Duration, _ int) { s.deployment.StoreListener.SilenceOpen() }, cutsContact: true},
	{name: "store history gone", inject: func(s *soak, _ time.Duration, _ int) { s.deployment.Store.Expire(fakeexecutor.Topic) }},
	{name: "executor silent", inject: executorFault(fakeexecutor.Faults{Hang: true})},
	{name: "executor mute", inject: executorFault(fakeexecutor.Faults{LoseReplies: true})},
	{name: "executor restarted", inject: func(s *soak, _ time.Duration, choice int) { s.executor(choice).Restart() }},
	{name: "executor of another kind", inject: func(s *soak, _ time.Duration, choice int) { s.changeKind(choice) }},
	{name: "executor hangs", inject: func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Hangs = on })
	}},
	{name: "executor fails", inject: func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Fails = on })
	}},
	{name: "executor refuses", inject: func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Unhealthy = on })
	}},
	{name: "connections reset", inject: func(s *soak, _ time.Duration, choice int) { s.executor(choice).Listener.BreakOpen() }},
	{name: "connections silent", inject: func(s *soak, _ time.Duration, choice int) { s.executor(choice).Listener.SilenceOpen() }},
	{name: "connections slow", inject: func(s *soak, duration time.Duration, choice int) {
		const delay = 40 * time.Millisecond
		s.executor(choice).Listener.SetDelay(delay)
		time.Sleep(duration)
		s.executor(choice).Listener.SetDelay(0)
	}},
	{name: "all entries killed", inject: func(s *soak, duration time.Duration, _ int) {
		var all sync.WaitGroup
		for i := range s.processes {
			all.Go(func() { s.kill(i, duration) })
		}
		all.Wait()
	}},
}

// rareFactor is how many times rarer the last kind of fault, the loss of all
// entries, is than each other kind.
const rareFactor = 4

// startFault starts a random fault. Other faults may be in progress. A fault that
// cuts contact to the store is skipped while a failure domain is evacuated, because
// the evacuation could not be checked.
func (s *soak) startFault(running *sync.WaitGroup) {
	n := s.rng.IntN(len(faultKinds)*rareFactor - rareFactor + 1)
	kind := faultKinds[min(n/rareFactor, len(faultKinds)-1)]
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	choice := s.rng.IntN(1 << 16)
	if kind.cutsContact && !s.evacuations.beginOutage() {
		return
	}
	s.recordFault(kind.name, "duration", duration.String(), "choice", choice)
	running.Go(func() {
		kind.inject(s, duration, choice)
		if kind.cutsContact {
			s.evacuations.endOutage()
		}
	})
}

// recordFault counts a fault and writes it to the log of events.
func (s *soak) recordFault(name string, values ...any) {
	s.events.add(name, values...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults[name]++
}

func storeFault(faults fakestore.Faults) func(*soak, time.Duration, int) {
	return func(s *soak, duration time.Duration, _ int) {
		s.deployment.Store.SetFaults(faults)
		time.Sleep(duration)
		s.deployment.Store.SetFaults(fakestore.Faults{})
	}
}

func executorFault(faults fakeexecutor.Faults) func(*soak, time.Duration, int) {
	return func(s *soak, duration time.Duration, choice int) {
		executor := s.executor(choice)
		executor.SetFaults(faults)
		time.Sleep(duration)
		executor.SetFaults(fakeexecutor.Faults{})
	}
}

// changeKind makes an executor crash, which is back as one of another kind. The first
// executor of each kind in each failure domain keeps its own.
func (s *soak) changeKind(choice int) {
	const away = 100 * time.Millisecond
	n := choice % len(s.deployment.Executors)
	if n%executorsPerDomain < len(usersplatform.Labels) {
		return
	}
	kind := usersplatform.Labels[(choice/len(s.deployment.Executors))%len(usersplatform.Labels)]
	s.deployment.Executors[n].RestartAs([]string{kind}, away, s.deployment.Store)
}

func (s *soak) executor(choice int) *usersplatform.Executor {
	return s.deployment.Executors[choice%len(s.deployment.Executors)]
}

func (s *soak) changeExecutor(choice int, duration time.Duration, set func(*leasedtest.Endpoint, bool)) {
	executor := s.executor(choice)
	executor.WithState(func(e *leasedtest.Endpoint) { set(e, true) })
	time.Sleep(duration)
	executor.WithState(func(e *leasedtest.Endpoint) { set(e, false) })
}

// takeProcess removes and returns the process of an entry for a fault that stops
// it. Other faults skip the entry until the fault has ended.
func (s *soak) takeProcess(choice int) (int, *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := choice % len(s.processes)
	p := s.processes[i]
	s.processes[i] = nil
	return i, p
}

func (s *soak) restart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.start(i); err != nil {
		s.report.Violations = append(s.report.Violations, err.Error())
	}
}

func (s *soak) kill(choice int, duration time.Duration) {
	i, p := s.takeProcess(choice)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
	time.Sleep(duration)
	s.restart(i)
}

func (s *soak) stop(choice int) {
	i, p := s.takeProcess(choice)
	if p == nil {
		return
	}
	sent := time.Now()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		waited, state := time.Since(sent), processState(p.cmd.Process.Pid)
		if state == stateEnded {
			break // only this process was late to see it
		}
		s.addViolation("%s did not stop within its grace period: state %s after %v", s.deployment.Entries[i].Name, state, waited)
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
	s.restart(i)
}

func (s *soak) pause(choice int, duration time.Duration) {
	i, p := s.takeProcess(choice)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(duration)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Lock()
	s.processes[i] = p
	s.mu.Unlock()
}

func (s *soak) signal(choice int, sig syscall.Signal) {
	s.mu.Lock()
	p := s.processes[choice%len(s.processes)]
	s.mu.Unlock()
	if p != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended
	}
}

// Results of processState.
const (
	stateEnded   = "ended"
	stateUnknown = "unknown"
)

// processState returns the kernel's letter for the state of a process, or stateEnded,
// also if its exit status was not read yet.
func processState(pid int) string {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if errors.Is(err, fs.ErrNotExist) {
		return stateEnded
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	switch {
	case err != nil || len(fields) == 0:
		return stateUnknown
	case fields[0] == "Z":
		return stateEnded
	}
	return fields[0]
}

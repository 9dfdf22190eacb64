package soak

import (
	"sync"
	"syscall"
	"time"

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
}

// faultKinds are all kinds of faults. They act from outside the entries.
var faultKinds = []faultKind{
	{"entry killed", func(s *soak, duration time.Duration, choice int) { s.kill(choice, duration) }},
	{"entry stopped", func(s *soak, _ time.Duration, choice int) { s.stop(choice) }},
	{"entry paused", func(s *soak, duration time.Duration, choice int) { s.pause(choice, duration) }},
	{"settings reloaded", func(s *soak, _ time.Duration, choice int) { s.signal(choice, syscall.SIGHUP) }},
	{"configuration changed", func(s *soak, _ time.Duration, _ int) { s.deployment.PublishConfiguration() }},
	{"store down", storeFault(fakestore.Faults{Down: true})},
	{"store busy", storeFault(fakestore.Faults{Busy: true})},
	{"store silent", storeFault(fakestore.Faults{Hang: true})},
	{"store slow", storeFault(fakestore.Faults{Delay: 300 * time.Millisecond})},
	{"store connections silent", func(s *soak, _ time.Duration, _ int) { s.deployment.StoreListener.SilenceOpen() }},
	{"store history gone", func(s *soak, _ time.Duration, _ int) { s.deployment.Store.Expire(fakeexecutor.Topic) }},
	{"executor silent", executorFault(fakeexecutor.Faults{Hang: true})},
	{"executor mute", executorFault(fakeexecutor.Faults{LoseReplies: true})},
	{"executor restarted", func(s *soak, _ time.Duration, choice int) { s.executor(choice).Restart() }},
	{"executor hangs", func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Hangs = on })
	}},
	{"executor fails", func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Fails = on })
	}},
	{"executor refuses", func(s *soak, duration time.Duration, choice int) {
		s.changeExecutor(choice, duration, func(e *leasedtest.Endpoint, on bool) { e.Unhealthy = on })
	}},
	{"connections reset", func(s *soak, _ time.Duration, choice int) { s.executor(choice).Listener.BreakOpen() }},
	{"connections silent", func(s *soak, _ time.Duration, choice int) { s.executor(choice).Listener.SilenceOpen() }},
	{"connections slow", func(s *soak, duration time.Duration, choice int) {
		const delay = 40 * time.Millisecond
		s.executor(choice).Listener.SetDelay(delay)
		time.Sleep(duration)
		s.executor(choice).Listener.SetDelay(0)
	}},
	{"all entries killed", func(s *soak, duration time.Duration, _ int) {
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

// startFault starts a random fault. Other faults may be in progress.
func (s *soak) startFault(running *sync.WaitGroup) {
	n := s.rng.IntN(len(faultKinds)*rareFactor - rareFactor + 1)
	kind := faultKinds[min(n/rareFactor, len(faultKinds)-1)]
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	choice := s.rng.IntN(1 << 16)
	s.mu.Lock()
	s.report.Faults[kind.name]++
	s.mu.Unlock()
	running.Go(func() { kind.inject(s, duration, choice) })
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
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		s.addViolation("%s did not stop within its grace period", s.deployment.Entries[i].Name)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
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

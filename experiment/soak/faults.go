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

// kind is a kind of fault. It acts, waits and undoes itself.
type kind struct {
	name string
	play func(s *soak, length time.Duration, pick int)
}

// kinds are the faults, all from outside the entries.
var kinds = []kind{
	{"entry killed", func(s *soak, length time.Duration, pick int) { s.kill(pick, length) }},
	{"entry stopped", func(s *soak, _ time.Duration, pick int) { s.stop(pick) }},
	{"entry paused", func(s *soak, length time.Duration, pick int) { s.pause(pick, length) }},
	{"settings reloaded", func(s *soak, _ time.Duration, pick int) { s.signal(pick, syscall.SIGHUP) }},
	{"configuration changed", func(s *soak, _ time.Duration, _ int) { s.deployment.PublishConfiguration() }},
	{"store down", storeFault(fakestore.Faults{Down: true})},
	{"store busy", storeFault(fakestore.Faults{Busy: true})},
	{"store silent", storeFault(fakestore.Faults{Hang: true})},
	{"store slow", storeFault(fakestore.Faults{Delay: 300 * time.Millisecond})},
	{"store connections silent", func(s *soak, _ time.Duration, _ int) { s.deployment.StoreListener.SilenceOpen() }},
	{"store history gone", func(s *soak, _ time.Duration, _ int) { s.deployment.Store.Expire(fakeexecutor.Topic) }},
	{"executor silent", executorFault(fakeexecutor.Faults{Hang: true})},
	{"executor mute", executorFault(fakeexecutor.Faults{LoseReplies: true})},
	{"executor restarted", func(s *soak, _ time.Duration, pick int) { s.executor(pick).Restart() }},
	{"executor hangs", func(s *soak, length time.Duration, pick int) {
		s.change(pick, length, func(e *leasedtest.Endpoint, on bool) { e.Hangs = on })
	}},
	{"executor fails", func(s *soak, length time.Duration, pick int) {
		s.change(pick, length, func(e *leasedtest.Endpoint, on bool) { e.Fails = on })
	}},
	{"executor refuses", func(s *soak, length time.Duration, pick int) {
		s.change(pick, length, func(e *leasedtest.Endpoint, on bool) { e.Unhealthy = on })
	}},
	{"connections reset", func(s *soak, _ time.Duration, pick int) { s.executor(pick).Listener.BreakOpen() }},
	{"connections silent", func(s *soak, _ time.Duration, pick int) { s.executor(pick).Listener.SilenceOpen() }},
	{"connections slow", func(s *soak, length time.Duration, pick int) {
		const delay = 40 * time.Millisecond
		s.executor(pick).Listener.SetDelay(delay)
		time.Sleep(length)
		s.executor(pick).Listener.SetDelay(0)
	}},
	{"all entries killed", func(s *soak, length time.Duration, _ int) {
		var all sync.WaitGroup
		for i := range s.processes {
			all.Go(func() { s.kill(i, length) })
		}
		all.Wait()
	}},
}

// rare is how much rarer the loss of all entries is than other faults.
const rare = 4

// fault begins one fault; others may be under way.
func (s *soak) fault(running *sync.WaitGroup) {
	n := s.rng.IntN(len(kinds)*rare - rare + 1)
	k := kinds[min(n/rare, len(kinds)-1)]
	length := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	pick := s.rng.IntN(1 << 16)
	s.mu.Lock()
	s.report.Faults[k.name]++
	s.mu.Unlock()
	running.Go(func() { k.play(s, length, pick) })
}

func storeFault(f fakestore.Faults) func(*soak, time.Duration, int) {
	return func(s *soak, length time.Duration, _ int) {
		s.deployment.Store.SetFaults(f)
		time.Sleep(length)
		s.deployment.Store.SetFaults(fakestore.Faults{})
	}
}

func executorFault(f fakeexecutor.Faults) func(*soak, time.Duration, int) {
	return func(s *soak, length time.Duration, pick int) {
		x := s.executor(pick)
		x.SetFaults(f)
		time.Sleep(length)
		x.SetFaults(fakeexecutor.Faults{})
	}
}

func (s *soak) executor(pick int) *usersplatform.Executor {
	return s.deployment.Executors[pick%len(s.deployment.Executors)]
}

func (s *soak) change(pick int, length time.Duration, set func(*leasedtest.Endpoint, bool)) {
	x := s.executor(pick)
	x.WithState(func(e *leasedtest.Endpoint) { set(e, true) })
	time.Sleep(length)
	x.WithState(func(e *leasedtest.Endpoint) { set(e, false) })
}

// take returns an entry's process for a fault that ends it, and leaves none in
// its place: another fault passes it over meanwhile.
func (s *soak) take(pick int) (int, *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := pick % len(s.processes)
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

func (s *soak) kill(pick int, length time.Duration) {
	i, p := s.take(pick)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
	time.Sleep(length)
	s.restart(i)
}

func (s *soak) stop(pick int) {
	i, p := s.take(pick)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.ended:
	case <-time.After(graceLimit):
		s.violate("%s did not end within its grace", s.deployment.Entries[i].Name)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	s.restart(i)
}

func (s *soak) pause(pick int, length time.Duration) {
	i, p := s.take(pick)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(length)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Lock()
	s.processes[i] = p
	s.mu.Unlock()
}

func (s *soak) signal(pick int, sig syscall.Signal) {
	s.mu.Lock()
	p := s.processes[pick%len(s.processes)]
	s.mu.Unlock()
	if p != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended
	}
}

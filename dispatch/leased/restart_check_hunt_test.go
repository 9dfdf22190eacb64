package leased_test

import (
	"math/rand/v2"
	"regexp"
	"testing"
)

// hunt searches the schedules that TestRestartRulesHold explores, in another order, for
// one with two runs of a task, and ends with it. A broken rule shows in many schedules,
// so that a random order soon meets one of them.
type hunt struct {
	layouts []*exploration
	scripts []huntedScript
}

// huntedScript is a schedule of a layout.
type huntedScript struct {
	in     *exploration
	script script
}

// huntDoubleRun runs the schedules with one deviation at most first.
func huntDoubleRun(t *testing.T) {
	h := &hunt{}
	wanted := regexp.MustCompile(*restartIn)
	for _, layout := range restartLayouts {
		if !wanted.MatchString(layout.name) {
			continue
		}
		x := &exploration{layout: layout, stopEarly: true}
		for _, s := range x.exploreBelow(2) {
			h.add(x, script{choices: s})
		}
		if x.stopped() {
			x.report(t)
			return
		}
		h.layouts = append(h.layouts, x)
	}
	h.addSamples(*restartSamples/2, 3, *restartSeed)
	h.addSamples(*restartSamples/2, 4, *restartSeed+1)
	h.shuffle()
	h.run(t)
}

func (h *hunt) add(x *exploration, s script) {
	h.scripts = append(h.scripts, huntedScript{x, s})
}

// addSamples adds sampled schedules of each layout with up to n deviations.
func (h *hunt) addSamples(schedules, n int, seed uint64) {
	for _, x := range h.layouts {
		for i := range schedules {
			h.add(x, script{sample: rand.New(rand.NewPCG(seed, uint64(i))), sampled: n})
		}
	}
}

func (h *hunt) shuffle() {
	order := rand.New(rand.NewPCG(*restartSeed, 0))
	order.Shuffle(len(h.scripts), func(i, j int) { h.scripts[i], h.scripts[j] = h.scripts[j], h.scripts[i] })
}

// run runs the schedules until one has two runs of a task.
func (h *hunt) run(t *testing.T) {
	t.Helper()
	all := &exploration{stopEarly: true, points: make(map[choicePoint]struct{})}
	results := all.runAll(len(h.scripts), func(i int, visited func(choicePoint)) restartResult {
		s := h.scripts[i].script
		s.visited = visited
		return h.scripts[i].in.runOne(s, false)
	})
	t.Logf("%d schedules", all.schedules)
	for i := range results {
		if results[i].double != "" {
			x := h.scripts[i].in
			x.failed = append(x.failed, results[i])
			x.report(t)
			return
		}
	}
}

// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["odd"] = scenario{size{zones: 3, entries: 2, workers: 4, cores: 64}, odd} }

// odd sends jobs with unusual values, and looks for entries that end.
func odd(p *platform) error {
	rng := rand.New(rand.NewPCG(*seed, 9))
	var clients sync.WaitGroup
	pick := func(list ...string) string { return list[rng.IntN(len(list))] }
	for end := time.Now().Add(time.Duration(*seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(*every) {
		j := &job{id: newID(), bestEffort: rng.IntN(2) == 0}
		var steps []string
		for s := range 1 + rng.IntN(3) {
			n := []int{1, 1, 2, 7, 40, 300}[rng.IntN(6)]
			cpu := []int{0, 0, 1, 10, 500, 27000, 64000, 64001, 10_000_000}[rng.IntN(9)]
			j.steps = append(j.steps, step{count: n, cpu: min(cpu, 64000), time: time.Duration(1+rng.IntN(60)) * time.Millisecond, failShare: 0.1 * float64(rng.IntN(2))})
			text := fmt.Sprintf(`{"count":%d,"cpu":%d`, n, cpu)
			text += pick("", `,"mem_mb":64`, `,"mem_mb":131072`, `,"gpu":0`, `,"gpu":1`)
			text += pick("", `,"estimate_ms":0`, `,"estimate_ms":0.001`, `,"estimate_ms":1e15`, `,"estimate_ms":60`, `,"estimate_ms":60`)
			text += pick("", "", `,"anti_affinity":1`, `,"anti_affinity":1000000`)
			text += pick("", "", "", `,"requirements":"a"`, `,"requirements":"x y"`)
			text += pick("", "", `,"affinity":"ra-0"`, `,"affinity":"none"`, `,"checkpointing":true`, `,"speculative":true`)
			if s > 0 && rng.IntN(2) == 0 {
				text += pick(`,"after":[0]`, `,"after":[0,0]`, fmt.Sprintf(`,"after":[%d]`, s-1))
			}
			steps = append(steps, text+"}")
		}
		text := `{"spec":"` + pick("x", "", strings.Repeat("y", 4000), `\u0000\u2028<>&`) + `",`
		if j.bestEffort {
			text += `"` + names.NotStored + `":true,`
		}
		text += `"steps":[` + strings.Join(steps, ",") + `]}`
		p.book.add(j)
		entry, del := p.anyEntry(), rng.IntN(4) == 0
		deadline := []time.Duration{time.Millisecond, 50 * time.Millisecond, patience, 5 * time.Second}[rng.IntN(4)]
		clients.Go(func() {
			r := p.call(http.MethodPost, entry, j.id, text, deadline)
			p.book.note("POST %s: %d %s", text[:min(len(text), 300)], r.status, r.state)
			if del {
				p.call(http.MethodDelete, p.anyEntry(), j.id, "", patience)
			}
			p.call(http.MethodGet, p.anyEntry(), j.id, "", patience)
		})
	}
	clients.Wait()
	for i := range p.Entries {
		if !p.ready(i) {
			p.book.violation("entry %d is not ready at the end", i)
		}
		if _, exited := p.process(i); exited != nil {
			select {
			case <-exited:
				p.book.violation("entry %d has ended", i)
			default:
			}
		}
	}
	return nil
}

package evacuationcheck

import "time"

// schedule draws the operators' records and the faults of a run.
func (w *world) schedule() {
	for index := range entryDomains {
		w.boot(index)
	}
	w.scheduleRecords()
	if w.chance(0.5) {
		w.at(faultsBegin, func() { w.lossRate = 0.03 })
		w.at(faultsEnd, func() { w.lossRate = 0 })
	}
	for index := range entryDomains {
		w.scheduleStoreFaults(index)
		w.scheduleCrashes(index)
	}
	if w.chance(0.4) { // a fault of the store itself
		l := w.storeFault(w.between(faultsBegin, 8*time.Second))
		for index := range entryDomains {
			w.storeLink[index] = append([]link{l}, w.storeLink[index]...)
		}
	}
	w.scheduleCuts()
	w.schedulePowerLoss()
}

// scheduleCuts draws cuts between single entries, and a partition of some entries
// from all others and from the store.
func (w *world) scheduleCuts() {
	away := make([]bool, len(entryDomains))
	partition := cut{}
	if w.chance(0.6) {
		partition = cut{from: w.between(faultsBegin, 6*time.Second)}
		partition.to = min(faultsEnd, partition.from+w.between(time.Second, 10*time.Second))
		for index := range away {
			if away[index] = w.chance(0.3); away[index] {
				until := min(faultsEnd, partition.to+w.between(0, 2*time.Second))
				w.storeLink[index] = append([]link{{from: partition.from, to: until, cut: true, refused: w.chance(0.5)}}, w.storeLink[index]...)
			}
		}
	}
	for a := range entryDomains {
		for b := range a {
			if w.chance(0.2) {
				*w.linkOf(a, b) = append(*w.linkOf(a, b), w.cutTime())
			}
			if away[a] != away[b] {
				*w.linkOf(a, b) = append(*w.linkOf(a, b), partition)
			}
		}
	}
}

func (w *world) cutTime() cut {
	from := w.between(faultsBegin, faultsEnd)
	return cut{from, min(faultsEnd, from+w.between(200*time.Millisecond, 10*time.Second))}
}

// scheduleRecords draws requests, repetitions, removals and records of another
// kind. Records may follow each other closely.
func (w *world) scheduleRecords() {
	requested := make(map[string]bool)
	at := w.between(faultsBegin, 4*time.Second)
	for range 2 + w.rng.IntN(7) {
		domain := domains[w.rng.IntN(2)]
		switch draw := w.rng.Float64(); {
		case draw < 0.15:
			w.writeAt(at, "config", "{}")
		case requested[domain] && draw < 0.6:
			requested[domain] = false
			w.writeAt(at, requestPrefix+domain, "")
		default: // may repeat a request
			requested[domain] = true
			w.writeAt(at, requestPrefix+domain, "{}")
		}
		if w.chance(0.45) {
			at += w.between(5*time.Millisecond, 300*time.Millisecond)
		} else {
			at += w.between(400*time.Millisecond, 5*time.Second)
		}
		if at > faultsEnd {
			return
		}
	}
}

// writeAt appends a record, which the store acknowledges some time later.
func (w *world) writeAt(at time.Duration, key, value string) {
	acked := at + w.between(time.Millisecond, 300*time.Millisecond)
	w.at(at, func() {
		w.logf("the operators write %s = %q at offset %d", key, value, len(w.store.log))
		w.result.Requests++
		w.store.append(at, acked, key, value)
	})
}

// scheduleStoreFaults draws times at which an entry reads the store with faults.
func (w *world) scheduleStoreFaults(index int) {
	for at := w.between(0, 8*time.Second); at < faultsEnd && w.chance(0.7); {
		l := w.storeFault(at)
		w.storeLink[index] = append(w.storeLink[index], l)
		at = l.to + w.between(0, 3*time.Second)
	}
}

// storeFault draws a fault of the store or of the connection to it.
func (w *world) storeFault(from time.Duration) link {
	l := link{from: from, to: min(faultsEnd, from+w.between(300*time.Millisecond, 8*time.Second))}
	switch w.rng.IntN(4) {
	case 0:
		l.cut = true
	case 1:
		l.cut, l.refused = true, true
	case 2:
		l.slow = w.between(50*time.Millisecond, 2500*time.Millisecond)
		l.least, l.oneWay = w.between(0, l.slow), w.chance(0.5)
	case 3:
		l.lag = w.between(100*time.Millisecond, 6*time.Second)
	}
	return l
}

// scheduleCrashes draws crashes of an entry and its restarts.
func (w *world) scheduleCrashes(index int) {
	for at := w.between(faultsBegin, faultsEnd); at < faultsEnd && w.chance(0.6); {
		up := at + w.between(100*time.Millisecond, 3*time.Second)
		w.at(at, func() { w.entries[index].crash() })
		w.at(up, func() { w.restart(index) })
		at = up + w.between(time.Second, 4*time.Second)
	}
}

// schedulePowerLoss draws a crash of all entries at the same time, after which no
// peer knows the requests.
func (w *world) schedulePowerLoss() {
	if !w.chance(0.3) {
		return
	}
	at := w.between(faultsBegin, faultsEnd)
	for index := range entryDomains {
		w.at(at, func() { w.entries[index].crash() })
		w.at(at+w.between(900*time.Millisecond, 1300*time.Millisecond), func() { w.restart(index) })
	}
}

// restart starts an entry that has crashed. Its first read may be slow.
func (w *world) restart(index int) {
	if w.entries[index].alive {
		return
	}
	w.result.Restarts++
	if w.chance(0.4) {
		slow := link{from: w.now, to: w.now + 2*time.Second, least: 300 * time.Millisecond, slow: 1400 * time.Millisecond, oneWay: true}
		w.storeLink[index] = append([]link{slow}, w.storeLink[index]...)
	}
	w.boot(index)
}

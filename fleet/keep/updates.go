package keep

import (
	"context"
	"maps"
	"slices"
	"sync"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Updates passes what becomes known about the tasks of an offered job to its offer. Of
// each task it keeps the newest update, which contains the earlier ones. It is safe for
// concurrent use.
type Updates struct {
	changed chan struct{} // has a value while there are updates

	mu     sync.Mutex
	byTask map[leased.TaskID]stored.TaskUpdate
}

// NewUpdates returns Updates without any update.
func NewUpdates() *Updates {
	return &Updates{changed: make(chan struct{}, 1), byTask: make(map[leased.TaskID]stored.TaskUpdate)}
}

// Add adds an update, in place of the earlier one of its task.
func (u *Updates) Add(update stored.TaskUpdate) {
	u.mu.Lock()
	u.byTask[update.Task] = update
	u.mu.Unlock()
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// Next waits for updates and returns all that there are, in no particular order. It
// returns nil once the context is done.
func (u *Updates) Next(ctx context.Context) []stored.TaskUpdate {
	select {
	case <-ctx.Done():
		return nil
	case <-u.changed:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	list := slices.Collect(maps.Values(u.byTask))
	clear(u.byTask)
	return list
}

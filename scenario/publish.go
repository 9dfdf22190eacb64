package scenario

import (
	"context"
	"fmt"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/platform"
)

// publish appends a change that replaces the services, based on the version
// that the scenario published last, and shows what became of it.
func (w *world) publish(a *args, text string) string {
	parsed, err := catalog.ParseServices("services", []byte(text))
	if err != nil {
		a.fail("%v", err)
	}
	record, err := change.EncodeChange(change.Change{
		ID:     fmt.Sprintf("change-%d", w.published+1),
		Base:   w.published,
		Author: "scenario",
		Time:   time.Now(),
		Body:   &change.ReplaceServices{Services: parsed.Services, Teams: parsed.Teams},
	})
	if err != nil {
		a.fail("%v", err)
	}
	if _, err := w.platformClient().Append(context.Background(), platform.StreamConfiguration, [][]byte{record}); err != nil {
		a.fail("%v", err)
	}
	w.published++
	return ok("published")
}

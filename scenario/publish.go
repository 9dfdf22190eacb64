package scenario

import (
	"context"

	"lovagespread.example/platform"
)

// publish appends a configuration record and shows what became of it.
func (w *world) publish(a *args, text string) string {
	_, err := w.platformClient().Append(context.Background(), platform.StreamConfiguration, [][]byte{[]byte(text)})
	if err != nil {
		a.fail("%v", err)
	}
	return ok("published")
}

package scenario

import "strings"

// Summary returns the leading comment of a scenario file as one line.
func Summary(text string) string {
	var words []string
	for line := range strings.Lines(text) {
		comment, ok := strings.CutPrefix(line, "#")
		if !ok {
			break
		}
		words = append(words, strings.Fields(comment)...)
	}
	return strings.Join(words, " ")
}

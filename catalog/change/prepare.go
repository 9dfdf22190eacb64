package change

import (
	"fmt"

	"lovagespread.example/catalog"
)

// NoChangeError says that a change would alter nothing.
type NoChangeError struct{ Version uint64 }

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("the change alters nothing in version %d: it need not be published", e.Version)
}

// Prepare returns the version that a change on the current version would
// give, once the whole of it is checked. The error is a *tomlcheck.Problems or
// a *NoChangeError. from names the origin of the change in errors.
func Prepare(from string, current *catalog.Catalog, body Body) (*catalog.Catalog, error) {
	next := Apply(current, Change{Body: body})
	if err := catalog.Check(from, next); err != nil {
		return nil, err
	}
	same := *next
	same.Version = current.Version
	if string(Digest(&same)) == string(Digest(current)) {
		return nil, &NoChangeError{Version: current.Version}
	}
	return next, nil
}

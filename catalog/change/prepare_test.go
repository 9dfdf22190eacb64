package change

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/tomlcheck"
)

// TestPrepareValidatesWholeConfiguration checks that Prepare rejects a change
// whose result is invalid as a whole, even if the change itself is valid.
func TestPrepareValidatesWholeConfiguration(t *testing.T) {
	service := func(name string, dependsOn ...string) catalog.Service {
		return catalog.Service{Name: name, DependsOn: dependsOn, Slots: 1, RunTime: time.Second, Timeout: time.Minute}
	}
	current := &catalog.Catalog{Version: 4, Services: []catalog.Service{service("a", "b"), service("b")}}
	var large []catalog.Service
	for i := range 20_000 {
		large = append(large, service(fmt.Sprint("service-", i)))
	}
	var (
		problems *tomlcheck.Problems
		noChange *NoChangeError
		tooLarge *TooLargeError
	)
	cases := []struct {
		name string
		body Body
		want any
	}{
		{"removed dependency", &Edit{RemoveServices: []string{"b"}}, &problems},
		{"new dependency cycle", &Edit{PutServices: []catalog.Service{service("b", "a")}}, &problems},
		{"no effect", &Edit{PutServices: []catalog.Service{service("b")}}, &noChange},
		{"too large", &Edit{PutServices: large}, &tooLarge},
	}
	for _, c := range cases {
		if _, err := Prepare("test", current, c.body); err == nil || !errors.As(err, c.want) {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
	next, err := Prepare("test", current, &Edit{PutServices: []catalog.Service{service("c", "a")}})
	if err != nil || next.Version != 5 || len(next.Services) != 3 {
		t.Errorf("Prepare of a valid change returned %+v, %v", next, err)
	}
}

// TestPostponedRecordsAreBounded checks that a replica with a gap limits the size
// of the records that it postpones.
func TestPostponedRecordsAreBounded(t *testing.T) {
	r := NewReplica()
	r.ReportGap(10)
	const size = 1 << 20
	for i := range int64(100) {
		r.Apply(10+i, make([]byte, size))
	}
	if r.postponedBytes > maxPostponedBytes || len(r.postponed) != maxPostponedBytes/size {
		t.Errorf("%d records of %d bytes postponed", len(r.postponed), r.postponedBytes)
	}
	if first := r.postponed[0].offset; first != r.contiguousFrom {
		t.Errorf("first postponed record has offset %d, contiguousFrom is %d", first, r.contiguousFrom)
	}
}

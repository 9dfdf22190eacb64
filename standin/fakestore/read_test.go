package fakestore_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"lovagespread.example/standin/fakestore"
)

const topic = "keyed.servers"

// list requests one page of the newest records.
func list(s *fakestore.Store, w http.ResponseWriter, after string) {
	query := url.Values{"topic": {topic}, "part": {"0"}, "after": {after}}
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/log-newest?"+query.Encode(), nil))
}

// Guards against pages that no store of the protocol sends: they hold at most 500 records
// or 1 MB. A list must have every record once.
func TestPagesAreBounded(t *testing.T) {
	for _, c := range []struct{ records, bytes, pages int }{{1200, 10, 3}, {30, 100_000, 3}, {0, 0, 1}, {3, 1 << 20, 3}} {
		s := fakestore.New()
		for i := range c.records {
			s.Put(topic, fmt.Sprintf("%04d", i), make([]byte, c.bytes))
		}
		seen, pages, after := 0, 0, ""
		for more := true; more; pages++ {
			w := httptest.NewRecorder()
			list(s, w, after)
			var page struct {
				Items []struct {
					Key   string `json:"key"`
					Value []byte `json:"value"`
				} `json:"items"`
				HasMore bool  `json:"has_more"`
				End     int64 `json:"end"`
			}
			if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil {
				t.Fatal(err)
			}
			for _, item := range page.Items {
				if item.Key != fmt.Sprintf("%04d", seen) || len(item.Value) != c.bytes {
					t.Fatalf("%+v: record %q of %d bytes at position %d", c, item.Key, len(item.Value), seen)
				}
				seen++
				after = item.Key
			}
			if page.End != int64(c.records) {
				t.Errorf("%+v: the log ends at %d", c, page.End)
			}
			more = page.HasMore
		}
		if seen != c.records || pages != c.pages {
			t.Errorf("%+v: %d records on %d pages", c, seen, pages)
		}
	}
}

// putsWhileWritten writes to the store while the store writes a reply.
type putsWhileWritten struct {
	*httptest.ResponseRecorder
	store *fakestore.Store
}

func (w putsWhileWritten) Write(p []byte) (int, error) {
	w.store.Put(topic, "other", []byte("v"))
	return w.ResponseRecorder.Write(p)
}

// Guards against a caller that reads its list slowly and delays all other calls.
func TestSlowCallerDelaysNoOthers(t *testing.T) {
	s := fakestore.New()
	s.Put(topic, "k", []byte("v"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		list(s, putsWhileWritten{httptest.NewRecorder(), s}, "")
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the store answers no other call while it writes a list")
	}
}

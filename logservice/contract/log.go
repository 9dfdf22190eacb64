package contract

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// longWait is longer than the run time of any test.
const longWait = 20 * time.Second

// LogUnderTest is a new, empty log with the hooks that inject its faults.
type LogUnderTest struct {
	Log       logservice.Log
	Trim      func(stream string, before int64) // trims the records before an offset
	LoseReply func()                            // the next append takes effect without a reply
	SetDown   func(down bool)                   // starts or ends an outage
}

// TestLog tests a logservice.Log. It calls newLog once per test.
func TestLog(t *testing.T, newLog func(t *testing.T) LogUnderTest) {
	t.Helper()
	tests := []struct {
		name string
		run  func(t *testing.T, l LogUnderTest)
	}{
		{"OffsetsAreConsecutive", offsetsAreConsecutive},
		{"ReadHonoursFromAndLimit", readHonoursFromAndLimit},
		{"ReadPastTheEndIsEmpty", readPastTheEndIsEmpty},
		{"ReadWaitsForNewRecords", readWaitsForNewRecords},
		{"StreamsAreIndependent", streamsAreIndependent},
		{"BatchesAreContiguous", batchesAreContiguous},
		{"RecordsAreReturnedUnchanged", recordsAreReturnedUnchanged},
		{"LargeRecordsAreReadable", largeRecordsAreReadable},
		{"InvalidBatchesAreRefused", invalidBatchesAreRefused},
		{"TrimmedRecordsAreReported", trimmedRecordsAreReported},
		{"LostReplyGivesUnknownOutcome", lostReplyGivesUnknownOutcome},
		{"OutageGivesTypedError", outageGivesTypedError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, newLog(t)) })
	}
}

func appendTo(t *testing.T, l LogUnderTest, stream string, records ...string) int64 {
	t.Helper()
	var batch [][]byte
	for _, record := range records {
		batch = append(batch, []byte(record))
	}
	first, err := l.Log.Append(t.Context(), stream, batch)
	if err != nil {
		t.Fatal(err)
	}
	return first
}

func read(t *testing.T, l LogUnderTest, stream string, from int64, limit int) platformapi.ReadResponse {
	t.Helper()
	response, err := l.Log.Read(t.Context(), stream, from, limit, 0)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// expectRecords checks that a reply holds the wanted records at consecutive
// offsets, starting at from.
func expectRecords(t *testing.T, response platformapi.ReadResponse, from int64, want ...string) {
	t.Helper()
	if len(response.Records) != len(want) {
		t.Fatalf("%d records, want %d", len(response.Records), len(want))
	}
	for i, record := range response.Records {
		if record.Offset != from+int64(i) || string(record.Data) != want[i] {
			t.Errorf("record %d holds %q, want %d with %q", record.Offset, record.Data, from+int64(i), want[i])
		}
	}
}

func offsetsAreConsecutive(t *testing.T, l LogUnderTest) {
	first := appendTo(t, l, "s", "a", "b")
	second := appendTo(t, l, "s", "c")
	if second != first+2 {
		t.Fatalf("a batch of two has offset %d and the next batch offset %d", first, second)
	}
	response := read(t, l, "s", first, 10)
	expectRecords(t, response, first, "a", "b", "c")
	if response.Next != first+3 {
		t.Errorf("next offset %d, want %d", response.Next, first+3)
	}
}

func readHonoursFromAndLimit(t *testing.T, l LogUnderTest) {
	first := appendTo(t, l, "s", "a", "b", "c", "d")
	expectRecords(t, read(t, l, "s", first+1, 2), first+1, "b", "c")
}

func readPastTheEndIsEmpty(t *testing.T, l LogUnderTest) {
	first := appendTo(t, l, "s", "a")
	response := read(t, l, "s", first+1, 10)
	expectRecords(t, response, first+1)
	if response.Next != first+1 {
		t.Errorf("next offset %d, want %d", response.Next, first+1)
	}
}

func readWaitsForNewRecords(t *testing.T, l LogUnderTest) {
	first := appendTo(t, l, "s", "a")
	replies := make(chan platformapi.ReadResponse, 1)
	go func() {
		response, err := l.Log.Read(t.Context(), "s", first+1, 10, longWait)
		if err != nil {
			t.Error(err)
		}
		replies <- response
	}()
	appendTo(t, l, "s", "b")
	expectRecords(t, <-replies, first+1, "b")
}

func streamsAreIndependent(t *testing.T, l LogUnderTest) {
	a := appendTo(t, l, "a", "1")
	b := appendTo(t, l, "b", "2")
	expectRecords(t, read(t, l, "a", a, 10), a, "1")
	expectRecords(t, read(t, l, "b", b, 10), b, "2")
}

func batchesAreContiguous(t *testing.T, l LogUnderTest) {
	const writers = 8
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			name := fmt.Sprint(i)
			if _, err := l.Log.Append(t.Context(), "s", [][]byte{[]byte(name), []byte(name)}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	response := read(t, l, "s", 0, 2*writers)
	if len(response.Records) != 2*writers {
		t.Fatalf("%d records, want %d", len(response.Records), 2*writers)
	}
	for pair := range slices.Chunk(response.Records, 2) {
		if !bytes.Equal(pair[0].Data, pair[1].Data) {
			t.Errorf("batch at offset %d is not contiguous", pair[0].Offset)
		}
	}
}

func recordsAreReturnedUnchanged(t *testing.T, l LogUnderTest) {
	binary := string([]byte{0, 255, 10, 13, 34})
	large := string(bytes.Repeat([]byte("x"), platformapi.MaxRecordBytes))
	first := appendTo(t, l, "s", binary, "", large)
	expectRecords(t, read(t, l, "s", first, 10), first, binary, "", large)
}

// largeRecordsAreReadable reads more data than fits into one reply.
func largeRecordsAreReadable(t *testing.T, l LogUnderTest) {
	const records = 14
	large := string(bytes.Repeat([]byte("x"), platformapi.MaxRecordBytes))
	for range records {
		appendTo(t, l, "s", large)
	}
	var from int64
	for reads := 0; from < records; reads++ {
		response := read(t, l, "s", from, platformapi.MaxReadRecords)
		if len(response.Records) == 0 || reads > records {
			t.Fatalf("no progress in reading from offset %d", from)
		}
		from += int64(len(response.Records))
	}
}

func invalidBatchesAreRefused(t *testing.T, l LogUnderTest) {
	cases := map[string][][]byte{
		"empty":            {},
		"too many records": make([][]byte, platformapi.MaxBatchRecords+1),
		"too large":        {make([]byte, platformapi.MaxRecordBytes+1)},
	}
	for name, batch := range cases {
		_, err := l.Log.Append(t.Context(), "s", batch)
		var refused *logservice.RefusedError
		if !errors.As(err, &refused) {
			t.Errorf("%s: error %v, want a *RefusedError", name, err)
		}
	}
	if response := read(t, l, "s", 0, 10); len(response.Records) > 0 {
		t.Errorf("a refused batch left %d records", len(response.Records))
	}
}

func trimmedRecordsAreReported(t *testing.T, l LogUnderTest) {
	if l.Trim == nil {
		t.Skip("no hook to trim records")
	}
	first := appendTo(t, l, "s", "a", "b", "c")
	l.Trim("s", first+2)
	response := read(t, l, "s", first, 10)
	expectRecords(t, response, first+2, "c")
	if response.Oldest != first+2 {
		t.Errorf("oldest offset %d, want %d", response.Oldest, first+2)
	}
	l.Trim("s", first+3)
	response = read(t, l, "s", first, 10)
	if response.Oldest != first+3 || response.Next != first+3 {
		t.Errorf("oldest %d and next %d of an emptied stream, want %d", response.Oldest, response.Next, first+3)
	}
	if next := appendTo(t, l, "s", "d"); next != first+3 {
		t.Errorf("offset %d after the stream was emptied, want %d", next, first+3)
	}
}

func lostReplyGivesUnknownOutcome(t *testing.T, l LogUnderTest) {
	if l.LoseReply == nil {
		t.Skip("no hook to lose a reply")
	}
	first := appendTo(t, l, "s", "a")
	l.LoseReply()
	_, err := l.Log.Append(t.Context(), "s", [][]byte{[]byte("b")})
	var unknown *logservice.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Fatalf("error %v, want an *UnknownOutcomeError", err)
	}
	expectRecords(t, read(t, l, "s", first+1, 10), first+1, "b")
}

func outageGivesTypedError(t *testing.T, l LogUnderTest) {
	if l.SetDown == nil {
		t.Skip("no hook to start an outage")
	}
	first := appendTo(t, l, "s", "a")
	l.SetDown(true)
	_, err := l.Log.Append(t.Context(), "s", [][]byte{[]byte("b")})
	var unknown *logservice.UnknownOutcomeError
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unknown) && !errors.As(err, &unavailable) {
		t.Errorf("append during an outage: error %v", err)
	}
	if _, err = l.Log.Read(t.Context(), "s", first, 10, 0); !errors.As(err, &unavailable) {
		t.Errorf("read during an outage: error %v, want an *UnavailableError", err)
	}
	l.SetDown(false)
	expectRecords(t, read(t, l, "s", first, 1), first, "a")
}

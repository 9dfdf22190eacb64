package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// historyRecord is the JSON form of one record of the log and its verdict.
type historyRecord struct {
	Offset   int64       `json:"offset"`
	Time     time.Time   `json:"time"`
	Verdict  string      `json:"verdict"`
	Version  uint64      `json:"version"` // version in force after the record
	ChangeID string      `json:"change_id,omitempty"`
	Base     uint64      `json:"base,omitempty"`
	Author   string      `json:"author,omitempty"`
	Kind     change.Kind `json:"kind,omitempty"`
	Error    string      `json:"error,omitempty"`
}

func history(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	if _, err := in.parse(0, 0); err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	records, err := readHistory(in, client)
	if err != nil {
		return err
	}
	return in.show(records, func(w io.Writer) {
		fmt.Fprintln(w, "OFFSET\tTIME\tVERDICT\tVERSION\tBASE\tKIND\tAUTHOR\tCHANGE")
		for _, e := range records {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", e.Offset, e.Time.UTC().Format(time.RFC3339),
				e.Verdict, e.Version, e.Base, e.Kind, e.Author, e.ChangeID)
		}
	})
}

func readHistory(in *invocation, log logservice.Log) ([]historyRecord, error) {
	replica := change.NewReplica()
	records := []historyRecord{}
	for {
		response, err := log.Read(in.ctx, logservice.StreamConfiguration, replica.Next(), platformapi.MaxReadRecords, 0)
		if err != nil {
			return nil, err
		}
		replica.ReportGap(response.Oldest)
		for _, record := range response.Records {
			records = append(records, newHistoryRecord(record, replica.Apply(record.Offset, record.Data)))
		}
		if len(response.Records) == 0 {
			return records, nil
		}
	}
}

func newHistoryRecord(record platformapi.Record, verdict change.Verdict) historyRecord {
	e := historyRecord{
		Offset:   record.Offset,
		Time:     record.Time,
		Verdict:  verdict.Kind.String(),
		Version:  verdict.Version,
		ChangeID: verdict.ChangeID,
		Base:     verdict.Base,
	}
	if verdict.Err != nil {
		e.Error = verdict.Err.Error()
	}
	decoded, err := change.Decode(record.Data, change.MaxFormat)
	if err == nil && decoded.Change != nil {
		e.Author = decoded.Change.Author
		e.Kind = decoded.Change.Body.Kind()
	}
	return e
}

func export(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	if _, err := in.parse(0, 0); err != nil {
		return err
	}
	s, err := flags.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	newest, ok := s.follower.Copy(s.ctx)
	if !ok {
		return errors.New(s.follower.Status().Reason())
	}
	_, err = fmt.Fprintf(in.stdout, "%s\n", newest.Body)
	return err
}

// restoreReport is the JSON form of a restored snapshot.
type restoreReport struct {
	Version uint64 `json:"version"`
	Offset  int64  `json:"offset"`
}

func restore(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return errors.Wrap(err, "name a readable snapshot of lovagectl export")
	}
	s, err := flags.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	result, err := restoreSnapshot(s, text)
	if err != nil {
		return err
	}
	return in.show(result, func(w io.Writer) {
		fmt.Fprintf(w, "version %d written at offset %d\n", result.Version, result.Offset)
	})
}

// restoreSnapshot appends a snapshot that covers all records of the log so far.
func restoreSnapshot(s *session, text []byte) (restoreReport, error) {
	record, err := change.Decode(text, change.MaxFormat)
	if err != nil {
		return restoreReport{}, err
	}
	if record.Snapshot == nil {
		return restoreReport{}, errors.New("the file holds no snapshot: use one of lovagectl export")
	}
	st := s.follower.Status()
	if st.Complete && st.Catalog.Version > 0 {
		return restoreReport{}, errors.Errorf("version %d is in force: publish a change in place of a snapshot", st.Catalog.Version)
	}
	snapshot := *record.Snapshot
	snapshot.NextOffset = st.Next
	body, err := change.EncodeSnapshot(snapshot)
	if err != nil {
		return restoreReport{}, err
	}
	offset, err := s.log.Append(s.ctx, logservice.StreamConfiguration, [][]byte{body})
	return restoreReport{Version: snapshot.Catalog.Version, Offset: offset}, err
}

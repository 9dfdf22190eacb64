package fleet

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"reflect"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/fleet/follow"
	"lovagespread.example/fleet/relay"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Sizes of a failure domain in which records of endpoints are relayed.
const (
	// minRelayingDomain is the number of live entries from which on relaying saves
	// more bytes than the delay of one more poll is worth.
	minRelayingDomain = 16
	// readersPerDomain leaves one if another fails.
	readersPerDomain = 2
)

// relayRole returns how this entry reads the records of endpoints. The largest VMs
// of a failure domain read them for the others; of equal ones those that run for
// longest, so that the choice is stable while others restart.
func relayRole(view *cells.View) relay.Role {
	if view == nil || view.Self.Leaving {
		return relay.Role{}
	}
	local := lo.Filter(view.Live, func(e cells.Entry, _ int) bool { return e.FailureDomain == view.Self.FailureDomain && !e.Leaving })
	local = append(local, view.Self)
	if len(local) < minRelayingDomain {
		return relay.Role{}
	}
	slices.SortFunc(local, func(a, b cells.Entry) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	readers := local[:readersPerDomain]
	if slices.ContainsFunc(readers, func(e cells.Entry) bool { return e.Incarnation == view.Self.Incarnation }) {
		return relay.Role{Relays: true}
	}
	role := relay.Role{Readers: lo.Map(readers, func(e cells.Entry, _ int) relay.Reader { return relay.Reader{Name: e.Name, Address: e.Address} })}
	if view.Self.Incarnation%readersPerDomain == 1 { // spreads the entries over the readers
		slices.Reverse(role.Readers)
	}
	return role
}

// relayedEndpoints returns the log of the endpoints' records as this entry reads
// it, without odd ones that replace those of sound endpoints for a moment.
func (p *Process) relayedEndpoints(s *Sources) follow.KeyedLog {
	decoder := newRecordDecoder(s.DecodeEndpoint, p.log)
	p.endpointJournal.Store(relay.NewJournal(func(key string, before, after []byte) bool {
		first, second := decoder.decode(key, before), decoder.decode(key, after)
		return (first.err == nil) == (second.err == nil) && reflect.DeepEqual(first.endpoint, second.endpoint)
	}))
	role := func() relay.Role { return relayRole(p.loop.Latest().View) }
	return newSteadyLog(relay.NewLog(s.Endpoints, p.endpointJournal.Load(), role, p.peers.endpointRecords, p.noteOddReply), decoder, p.log)
}

// noteOddReply logs a reply of a reader that is not used.
func (p *Process) noteOddReply(err error) { p.log.Warn("relayed_records_odd", zap.Error(err)) }

// endpointRecords asks another entry for records of endpoints.
func (p *peers) endpointRecords(ctx context.Context, reader relay.Reader, from int64) ([]follow.Record, int64, error) {
	reply, err := p.client(reader.Address).EndpointRecords(ctx, &fleetpb.EndpointRecordsRequest{From: from})
	if err != nil {
		return nil, 0, errors.Wrap(err, "ask "+reader.Name+" for records of endpoints")
	}
	if reply.Gap {
		return nil, 0, &follow.GapError{From: from}
	}
	records := recordsFromPB(reply.Records)
	if from < 0 {
		if records, err = unpackRecords(reply.List); err != nil {
			p.log.Warn("relayed_records_odd", zap.String("reader", reader.Name), zap.Error(err))
			return nil, 0, err
		}
	}
	return records, reply.Next, nil
}

// EndpointRecords implements fleetpb.Fleet.
func (s *server) EndpointRecords(_ context.Context, r *fleetpb.EndpointRecordsRequest) (*fleetpb.EndpointRecordsResponse, error) {
	journal := s.endpointJournal.Load()
	if journal == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this entry does not follow the endpoints yet: ask another one")
	}
	reply, err := endpointRecordsSince(journal, r.From)
	if _, gap := errors.Into[*follow.GapError](err); gap {
		return &fleetpb.EndpointRecordsResponse{Gap: true}, nil
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return reply, nil
}

func endpointRecordsSince(journal *relay.Journal, from int64) (*fleetpb.EndpointRecordsResponse, error) {
	if from < 0 {
		list, next, err := journal.Packed(time.Now(), packRecords)
		return &fleetpb.EndpointRecordsResponse{Next: next, List: list}, err
	}
	records, next, err := journal.Since(time.Now(), from)
	return &fleetpb.EndpointRecordsResponse{Next: next, Records: recordsToPB(records)}, err
}

func recordsToPB(records []follow.Record) []*fleetpb.EndpointRecord {
	return lo.Map(records, func(r follow.Record, _ int) *fleetpb.EndpointRecord {
		return &fleetpb.EndpointRecord{Key: r.Key, Value: r.Value}
	})
}

func recordsFromPB(records []*fleetpb.EndpointRecord) []follow.Record {
	return lo.Map(records, func(r *fleetpb.EndpointRecord, _ int) follow.Record { return follow.Record{Key: r.Key, Value: r.Value} })
}

// packRecords compresses records, which are alike: some six bytes become one.
func packRecords(records []follow.Record) ([]byte, error) {
	data, err := proto.Marshal(&fleetpb.EndpointRecordList{Records: recordsToPB(records)})
	if err != nil {
		return nil, errors.Wrap(err, "encode records of endpoints")
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress records of endpoints")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records of endpoints")
	}
	return packed.Bytes(), nil
}

// maxUnpackedBytes bounds the memory that a list of another entry may take: some
// 100,000 endpoints.
const maxUnpackedBytes = 48 << 20

// ListTooLargeError reports a list of endpoints' records of another entry that is larger
// than any that is used. A part of it would drop the other endpoints.
type ListTooLargeError struct{ Limit int }

func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("the list of endpoints' records has more than %d bytes: check the version of the entry that sends it, and the size of the records", e.Limit)
}

func unpackRecords(packed []byte) ([]follow.Record, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records of endpoints")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records of endpoints")
	}
	if len(data) > maxUnpackedBytes {
		return nil, &ListTooLargeError{maxUnpackedBytes}
	}
	list := &fleetpb.EndpointRecordList{}
	if err := proto.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "decode records of endpoints")
	}
	return recordsFromPB(list.Records), nil
}

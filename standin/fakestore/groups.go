package fakestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
)

// parts is the number of partitions of a topic.
const parts = 24

// group is a group whose members share the partitions of topics evenly.
type group struct {
	generation int64
	members    map[string]*member
	topics     []string
	owner      map[partitionKey]string
	committed  map[partitionKey]int64
}

type member struct {
	expires time.Time
	// since is the generation from which on the member has held each partition.
	since map[partitionKey]int64
}

type groupRequest struct {
	Group      string   `json:"group"`
	MemberID   string   `json:"member_id"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
	Topic      string   `json:"topic"`
	Part       int      `json:"part"`
	Offset     int64    `json:"offset"`
}

type joinReply struct {
	Generation int64   `json:"generation"`
	TTLMS      int64   `json:"ttl_ms"`
	Parts      [][]any `json:"parts"`
}

func decode(w http.ResponseWriter, r *http.Request) (groupRequest, bool) {
	var q groupRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Group == "" || q.MemberID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return q, false
	}
	return q, true
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: make(map[string]*member), owner: make(map[partitionKey]string), committed: make(map[partitionKey]int64)}
		s.groups[name] = g
	}
	g.expire(s.now())
	return g
}

func (g *group) expire(now time.Time) {
	for id, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, id)
			g.deal()
		}
	}
}

// deal distributes the partitions evenly. Members keep what they can.
func (g *group) deal() {
	g.generation++
	ids := lo.Keys(g.members)
	slices.Sort(ids)
	if len(ids) == 0 {
		clear(g.owner)
		return
	}
	n := 0
	for _, topic := range g.topics {
		for part := range parts {
			key := partitionKey{topic, part}
			to := ids[n%len(ids)]
			n++
			if g.owner[key] != to {
				g.owner[key] = to
				g.members[to].since[key] = g.generation
			}
		}
	}
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	q, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(q.Group)
	m := g.members[q.MemberID]
	fresh := lo.Without(q.Topics, g.topics...)
	g.topics = append(g.topics, fresh...)
	if m == nil {
		m = &member{since: make(map[partitionKey]int64)}
		g.members[q.MemberID] = m
		g.deal()
	} else if len(fresh) > 0 {
		g.deal()
	}
	m.expires = s.now().Add(time.Duration(q.TTLMS) * time.Millisecond)
	answer := joinReply{Generation: g.generation, TTLMS: q.TTLMS, Parts: [][]any{}}
	for _, topic := range g.topics {
		for part := range parts {
			if key := (partitionKey{topic, part}); g.owner[key] == q.MemberID {
				answer.Parts = append(answer.Parts, []any{topic, part, g.committed[key]})
			}
		}
	}
	reply(w, http.StatusOK, answer)
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	q, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(q.Group)
	if g.members[q.MemberID] != nil {
		delete(g.members, q.MemberID)
		g.deal()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	q, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(q.Group)
	key := partitionKey{q.Topic, q.Part}
	m := g.members[q.MemberID]
	if m == nil || g.owner[key] != q.MemberID || q.Generation < m.since[key] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.committed[key] = q.Offset
	w.WriteHeader(http.StatusOK)
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for key, id := range g.owner {
		rows = append(rows, []any{key.topic, key.part, id, g.committed[key]})
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// Rebalance reassigns all partitions of a group at once, without any request.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	clear(g.owner)
	g.deal()
}

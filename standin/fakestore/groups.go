package fakestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
)

// partitionsPerTopic is the number of partitions of a topic.
const partitionsPerTopic = 24

// group is a consumer group. Its members share the partitions of its topics
// evenly.
type group struct {
	generation int64
	members    map[string]*member
	topics     []string
	owner      map[partitionKey]string
	committed  map[partitionKey]int64
}

type member struct {
	expires time.Time
	// heldSince holds, for each partition, the generation in which the member
	// got it.
	heldSince map[partitionKey]int64
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
	var req groupRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Group == "" || req.MemberID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return req, false
	}
	return req, true
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
			g.rebalance()
		}
	}
}

// rebalance starts a new generation and distributes the partitions evenly over
// the members, round robin. A member that keeps a partition keeps its heldSince.
func (g *group) rebalance() {
	g.generation++
	ids := lo.Keys(g.members)
	slices.Sort(ids)
	if len(ids) == 0 {
		clear(g.owner)
		return
	}
	n := 0
	for _, topic := range g.topics {
		for part := range partitionsPerTopic {
			key := partitionKey{topic, part}
			id := ids[n%len(ids)]
			n++
			if g.owner[key] != id {
				g.owner[key] = id
				g.members[id].heldSince[key] = g.generation
			}
		}
	}
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	req, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(req.Group)
	m := g.members[req.MemberID]
	newTopics := lo.Without(req.Topics, g.topics...)
	g.topics = append(g.topics, newTopics...)
	if m == nil {
		m = &member{heldSince: make(map[partitionKey]int64)}
		g.members[req.MemberID] = m
		g.rebalance()
	} else if len(newTopics) > 0 {
		g.rebalance()
	}
	m.expires = s.now().Add(time.Duration(req.TTLMS) * time.Millisecond)
	response := joinReply{Generation: g.generation, TTLMS: req.TTLMS, Parts: [][]any{}}
	for _, topic := range g.topics {
		for part := range partitionsPerTopic {
			if key := (partitionKey{topic, part}); g.owner[key] == req.MemberID {
				response.Parts = append(response.Parts, []any{topic, part, g.committed[key]})
			}
		}
	}
	reply(w, http.StatusOK, response)
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	req, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(req.Group)
	if g.members[req.MemberID] != nil {
		delete(g.members, req.MemberID)
		g.rebalance()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	req, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(req.Group)
	key := partitionKey{req.Topic, req.Part}
	m := g.members[req.MemberID]
	if m == nil || g.owner[key] != req.MemberID || req.Generation < m.heldSince[key] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.committed[key] = req.Offset
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

// Rebalance reassigns all partitions of a group without a request of a member.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	clear(g.owner)
	g.rebalance()
}

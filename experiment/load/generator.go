package load

import (
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/client/callerapi"
)

// GeneratorOptions describe a stream of requests.
type GeneratorOptions struct {
	Run      string // prefix of request names, which distinguishes runs at the endpoints
	Seed     uint64
	Services []catalog.Service
	Slots    map[string]int // of each service, over all endpoints
	// Load is the offered work ÷ the capacity of the slots; 1 is full load.
	Load float64
}

// Generator draws requests in the order of their due times. The arrivals of
// each service are a Poisson process. It is not safe for concurrent use.
type Generator struct {
	run     string
	rand    *rand.Rand
	streams []stream
	count   int64
}

// stream holds the arrivals of one service.
type stream struct {
	profile      jobProfile
	meanInterval float64 // mean time between jobs, in nanoseconds
	next         time.Duration
}

// NoServiceError reports that no service has an endpoint.
type NoServiceError struct{}

func (*NoServiceError) Error() string {
	return "no service of the services file has slots: add a [[pool]] for one to the settings of the stand-ins"
}

// NewGenerator returns a generator, or a *NoServiceError if no service has
// slots.
func NewGenerator(opts GeneratorOptions) (*Generator, error) {
	g := &Generator{run: opts.Run, rand: rand.New(rand.NewPCG(opts.Seed, opts.Seed))}
	for _, service := range opts.Services {
		slots := opts.Slots[service.Name]
		if slots == 0 {
			continue
		}
		profile := newJobProfile(service)
		work := profile.meanTasks() * float64(profile.meanRunTime())
		s := stream{profile: profile, meanInterval: work / (opts.Load * float64(slots))}
		g.schedule(&s)
		g.streams = append(g.streams, s)
	}
	if len(g.streams) == 0 {
		return nil, &NoServiceError{}
	}
	return g, nil
}

func (g *Generator) schedule(s *stream) {
	s.next += time.Duration(g.rand.ExpFloat64() * s.meanInterval)
}

// Next returns the next request.
func (g *Generator) Next() (*Request, error) {
	s := g.earliest()
	due := s.next
	g.schedule(s)
	g.count++
	return g.draw(s.profile, due)
}

func (g *Generator) earliest() *stream {
	first := &g.streams[0]
	for i := range g.streams {
		if g.streams[i].next < first.next {
			first = &g.streams[i]
		}
	}
	return first
}

func (g *Generator) draw(profile jobProfile, due time.Duration) (*Request, error) {
	r := &Request{
		Name: requestName(g.run, g.count),
		Due:  due,
		Job:  callerapi.Job{Service: profile.service.Name},
	}
	for i := range profile.drawTaskCount(g.rand) {
		run := profile.drawRunTime(g.rand)
		task, err := newTask(r.Name, i, run, drawDeclared(g.rand, run))
		if err != nil {
			return nil, err
		}
		r.Job.Tasks = append(r.Job.Tasks, task)
		r.Ideal = max(r.Ideal, run)
	}
	return r, nil
}

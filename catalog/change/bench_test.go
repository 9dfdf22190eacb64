package change

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/catalog"
)

// Size of the configuration in the benchmarks.
const (
	benchServices = 300
	benchTeams    = 130
)

func benchCatalog() *catalog.Catalog {
	c := &catalog.Catalog{}
	for i := range benchServices {
		c.Services = append(c.Services, catalog.Service{
			Name:      fmt.Sprintf("service-%d", i),
			DependsOn: []string{"service-a", "service-b"},
			Slots:     8,
			RunTime:   200 * time.Millisecond,
			Timeout:   10 * time.Second,
			Needs:     catalog.Resources{MilliCores: 500, MemoryMiB: 512},
		})
	}
	for i := range benchTeams {
		c.Teams = append(c.Teams, catalog.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1, TasksPerSecond: 100, Burst: 100})
	}
	return c
}

// benchmarkApply applies changes of one kind to a large configuration and
// reports the size of their records.
func benchmarkApply(b *testing.B, body func(i int, c *catalog.Catalog) Body) {
	r := NewReplica()
	r.logCatalog = benchCatalog()
	var bytes int
	for i := 0; b.Loop(); i++ {
		c := Change{ID: fmt.Sprint(i), Base: r.logCatalog.Version, Author: "operator", Time: time.Unix(0, 0).UTC()}
		c.Body = body(i, r.logCatalog)
		record, err := EncodeChange(c)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(record)
		if v := r.Apply(r.Next(), record); v.Kind != Accepted {
			b.Fatal(v.Kind)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "record-B/op")
}

func BenchmarkEdit(b *testing.B) {
	benchmarkApply(b, func(i int, c *catalog.Catalog) Body {
		s := c.Services[i%benchServices]
		s.Slots++
		return &Edit{PutServices: []catalog.Service{s}}
	})
}

func BenchmarkReplaceServices(b *testing.B) {
	benchmarkApply(b, func(_ int, c *catalog.Catalog) Body {
		return &ReplaceServices{Services: c.Services}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	s := Snapshot{Catalog: benchCatalog()}
	var bytes int
	for b.Loop() {
		record, err := EncodeSnapshot(s)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(record)
	}
	b.ReportMetric(float64(bytes), "record-B/op")
}

func BenchmarkDigest(b *testing.B) {
	c := benchCatalog()
	for b.Loop() {
		Digest(c)
	}
}

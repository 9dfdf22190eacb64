package jobid

import (
	"testing"
	"time"
)

func BenchmarkIssue(b *testing.B) {
	issuer, err := NewIssuer(1, keyOne)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		issuer.Issue(start, time.Minute)
	}
}

func BenchmarkParse(b *testing.B) {
	issuer, err := NewIssuer(1, keyOne)
	if err != nil {
		b.Fatal(err)
	}
	_, text := issuer.Issue(start, time.Minute)
	verifier, err := NewVerifier(keyOne)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := verifier.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

package jobid

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

var (
	keyOne = Key{Number: 1, Secret: bytes.Repeat([]byte{1}, MinKeyBytes)}
	keyTwo = Key{Number: 2, Secret: bytes.Repeat([]byte{2}, MinKeyBytes)}
	start  = time.Unix(1_700_000_000, 0)
)

func issue(t *testing.T, key Key) (ID, string) {
	t.Helper()
	issuer, err := NewIssuer(42, key)
	if err != nil {
		t.Fatal(err)
	}
	return issuer.Issue(start, time.Minute)
}

func TestParseReturnsTheIssuedID(t *testing.T) {
	id, text := issue(t, keyOne)
	verifier, err := NewVerifier(keyTwo, keyOne)
	if err != nil {
		t.Fatal(err)
	}
	got, err := verifier.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if got != id {
		t.Fatalf("parsed %+v, issued %+v", got, id)
	}
	if got.Expired(start.Add(59*time.Second)) || !got.Expired(start.Add(time.Minute)) {
		t.Fatalf("expiry is %v, want %v", got.Expiry(), start.Add(time.Minute))
	}
}

func TestParseRefusesEveryChangedCharacter(t *testing.T) {
	_, text := issue(t, keyOne)
	verifier, _ := NewVerifier(keyOne)
	for i := range text {
		for _, c := range "0123456789abcdefghijklmnopqrstuvV " {
			changed := []byte(text)
			changed[i] = byte(c)
			if string(changed) == text {
				continue
			}
			var forged *ForgedError
			if _, err := verifier.Parse(string(changed)); !errors.As(err, &forged) {
				t.Fatalf("character %d changed to %c: got %v, want a ForgedError", i, c, err)
			}
		}
	}
}

func TestTextReturnsTheIssuedForm(t *testing.T) {
	id, text := issue(t, keyOne)
	verifier, _ := NewVerifier(keyTwo, keyOne)
	if got, ok := verifier.Text(id); !ok || got != text {
		t.Fatalf("got %q, %t, want %q", got, ok, text)
	}
	other, _ := NewVerifier(keyTwo)
	if _, ok := other.Text(id); ok {
		t.Fatal("Text signed an ID whose key is unknown to the verifier")
	}
}

func TestParseRefusesUnknownKey(t *testing.T) {
	_, text := issue(t, keyTwo)
	verifier, _ := NewVerifier(keyOne)
	var forged *ForgedError
	if _, err := verifier.Parse(text); !errors.As(err, &forged) {
		t.Fatalf("got %v, want a ForgedError", err)
	}
}

func TestShortKeyIsRefused(t *testing.T) {
	var short *KeyError
	if _, err := NewIssuer(1, Key{Number: 1, Secret: []byte("short")}); !errors.As(err, &short) {
		t.Fatalf("got %v, want a KeyError", err)
	}
}

package fakeplatform

import (
	"testing"

	"lovagespread.example/logservice/contract"
)

func TestContract(t *testing.T) {
	contract.TestLog(t, func(t *testing.T) contract.LogUnderTest {
		p, client := serve(t, Options{})
		return contract.LogUnderTest{
			Log:       client,
			Trim:      p.Trim,
			LoseReply: func() { p.LoseReplies(1) },
			SetDown:   p.SetDown,
		}
	})
	contract.TestVMList(t, func(t *testing.T) contract.VMListUnderTest {
		p, client := serve(t, Options{ListLag: None})
		return contract.VMListUnderTest{Lister: client, Set: p.SetVMs, SetDown: p.SetDown}
	})
	contract.TestUsage(t, func(t *testing.T) contract.UsageUnderTest {
		p, client := serve(t, Options{ListLag: None})
		return contract.UsageUnderTest{Reader: client, Set: p.SetUsage, SetDown: p.SetDown}
	})
}

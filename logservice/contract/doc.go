// Package contract contains the tests that every implementation of the
// interfaces of package logservice must pass.
//
//	func TestContract(t *testing.T) {
//		contract.TestLog(t, func(t *testing.T) contract.LogUnderTest { ... })
//	}
//
// The hooks of an implementation under test inject faults. A hook that an
// implementation does not have is nil, and the tests that need it are skipped.
package contract

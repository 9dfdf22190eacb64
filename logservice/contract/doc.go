// Package contract holds the tests that every implementation of the
// interfaces of package platform must pass.
//
//	func TestContract(t *testing.T) {
//		contract.TestLog(t, func(t *testing.T) contract.LogUnderTest { ... })
//	}
//
// The hooks of an implementation under test bring about faults. A hook that
// an implementation lacks is nil, and the tests that need it are skipped.
package contract

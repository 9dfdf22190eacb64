//go:build broken_resend

package ledger

// resendUnknown allows a non-idempotent task to be started again after an
// attempt whose status is unknown. This violates the first invariant.
const resendUnknown = true

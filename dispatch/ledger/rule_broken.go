//go:build broken_resend

package ledger

// resendUnknown lets a non-idempotent task be sent again after its fate was
// lost. This breaks the first invariant.
const resendUnknown = true

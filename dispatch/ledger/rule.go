//go:build !broken_resend

package ledger

// resendUnknown is true only in builds with the tag broken_resend, in which the
// checks must detect that a non-idempotent task is started twice.
const resendUnknown = false

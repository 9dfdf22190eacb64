//go:build !broken_resend

package ledger

// resendUnknown is true only in builds which verify that the checks detect the
// resulting violation.
const resendUnknown = false

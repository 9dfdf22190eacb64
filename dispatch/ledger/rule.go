//go:build !broken_resend

package ledger

// resendUnknown is true only in builds that prove that the checks catch it.
const resendUnknown = false

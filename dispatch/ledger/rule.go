//go:build !broken_resend

package ledger

// resendLost is true only in builds that prove that the checks catch it.
const resendLost = false

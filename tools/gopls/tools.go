//go:build tools

// Package gopls pins the Go language server, which renames identifiers across
// the workspace.
package gopls

import _ "golang.org/x/tools/gopls"

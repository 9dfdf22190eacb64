// Package client is the Go client of the caller API.
package client

// Command lovage-load compares scheduling policies.
//
//	lovage-load compare -h
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 || os.Args[1] != "compare" {
		fmt.Fprintln(os.Stderr, "usage: lovage-load compare [flags]; -h lists the flags")
		os.Exit(2)
	}
	if err := runCompare(os.Args[2:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lovage-load:", err)
		os.Exit(1)
	}
}

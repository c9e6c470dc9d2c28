// Command simadapter runs decision modules on the bench's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"tallyproxy/internal/simadapter"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

func main() {
	start := func(s policy.Settings) policy.Policy { return routing.New(s, routing.Options{}) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// Command wirehost runs decision modules on the bench's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"tallyproxy/director"
	"tallyproxy/internal/wire"
	"tallyproxy/logic"
)

func main() {
	start := func(s director.Settings) director.Director { return logic.New(s, logic.Options{}) }
	if err := wire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

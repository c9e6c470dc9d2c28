// Command knownred reads the output of a failed run of `go test` on its standard input, and decides whether only tests failed that a list
// of known failures names, in the list's packages. It prints the entries that it passes over, or why the run is red, and then exits
// with 1.
package main

import (
	"fmt"
	"io"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: knownred LIST < OUTPUT")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Println("red:", err)
		os.Exit(1)
	}
}

// run decides about one run's output. It returns why the run is red.
func run(listPath string, output io.Reader, report io.Writer) error {
	text, err := os.ReadFile(listPath)
	if err != nil {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listPath, err)
	}
	failed, err := parseOutput(output)
	if err != nil {
		return err
	}
	passedOver, err := list.cover(failed)
	if err != nil {
		return err
	}
	for _, line := range passedOver {
		if _, err := fmt.Fprintln(report, "known red, passed over:", line); err != nil {
			return err
		}
	}
	return nil
}

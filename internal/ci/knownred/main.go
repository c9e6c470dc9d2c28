// Command knownred reads the output of a failed run of `go test` from standard input and checks
// that the run ended normally and that every failed test is in a list of known failures, under the
// same package. If so, it prints the entries that it passes over. Otherwise it prints why the run
// is red and exits with status 1.
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

// run checks the output of one test run against the list. The error says why the run is red.
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
	passedOver, err := list.check(failed)
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

// Command fleetview reads what `tallyctl show --json` prints from its standard input, and prints one
// line for each director and one for each change, in words that a shell can read.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"os"
	"strings"
)

// fleet is the part of the output that the cases use.
type fleet struct {
	Directors []struct {
		Name   string `json:"name"`
		Up     bool   `json:"up"`
		Report struct {
			PID     int      `json:"pid"`
			Reloads int      `json:"reloads"`
			Avoided []string `json:"avoided"`
		} `json:"report"`
	} `json:"directors"`
	Changes []struct {
		ID      string `json:"id"`
		Note    string `json:"note"`
		Outcome string `json:"outcome"`
		Open    bool   `json:"open"`
	} `json:"changes"`
}

func main() {
	var f fleet
	if err := json.NewDecoder(os.Stdin).Decode(&f); err != nil {
		log.Fatal(err)
	}
	for _, d := range f.Directors {
		fmt.Printf("director %s up=%v pid=%d reloads=%d avoids=%s\n", d.Name, d.Up, d.Report.PID, d.Report.Reloads, strings.Join(d.Report.Avoided, "+"))
	}
	for _, c := range f.Changes {
		fmt.Printf("change %s outcome=%s open=%v note=%s\n", c.ID, c.Outcome, c.Open, strings.ReplaceAll(c.Note, " ", "_"))
	}
}

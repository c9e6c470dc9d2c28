package ctl

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"tallyproxy/internal/config"
)

// avoidLine matches the line that EditAvoidedNodes writes. Scripts in service have it: its form stays.
var avoidLine = regexp.MustCompile(`(?m)^avoid\(boxes = \[([^\]]*)\]\) # by tallyctl\n?`)

// EditAvoidedNodes returns a script in which one more cache node is avoided, or one is avoided no more, by a line of tallyctl's own. Where
// the script calls avoid itself there is an error, since the node is then its owner's to edit.
func EditAvoidedNodes(script, node string, avoid bool) (string, error) {
	var nodes []string
	if m := avoidLine.FindStringSubmatch(script); m != nil {
		for quoted := range strings.SplitSeq(m[1], ", ") {
			nodes = append(nodes, strings.Trim(quoted, `"`))
		}
		script = avoidLine.ReplaceAllString(script, "")
	}
	nodes = slices.DeleteFunc(nodes, func(n string) bool { return n == node })
	if avoid {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	if script != "" && !strings.HasSuffix(script, "\n") {
		script += "\n"
	}
	if len(nodes) > 0 {
		script += fmt.Sprintf("avoid(boxes = [%s]) # by tallyctl\n", `"`+strings.Join(nodes, `", "`)+`"`)
	}
	if _, err := config.ParseOperator("script", []byte(script)); err != nil {
		return "", err
	}
	return script, nil
}

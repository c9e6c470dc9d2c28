package ctl

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"tallyproxy/internal/config"
)

// avoidLine matches the line that EditAvoidedNodes writes. Its form must not change, because
// scripts already in service contain it.
var avoidLine = regexp.MustCompile(`(?m)^avoid\(boxes = \[([^\]]*)\]\) # by tallyctl\n?`)

// EditAvoidedNodes adds a cache node to the avoid line that tallyctl maintains in a script, or
// removes the node from it, and returns the edited script. It returns an error if the script
// contains another call of avoid: that call belongs to the script's author, who has to edit it.
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

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

const (
	indentWidth   = 4       // columns that a subtest's lines are indented beyond its parent's
	maxOutputLine = 4 << 20 // bytes
)

var (
	// abnormalEndPattern matches lines that a run prints only if it ended abnormally, no matter
	// which tests failed.
	abnormalEndPattern = regexp.MustCompile(`^panic:|^fatal error:|^WARNING: DATA RACE|^exit status|^signal:|\[(build|setup) failed\]|^\*\*\* Test killed`)
	failPattern        = regexp.MustCompile(`^( *)--- FAIL: (\S+) \(`)
	logPattern         = regexp.MustCompile(`^( +)\S+\.go:\d+: `)
	packagePattern     = regexp.MustCompile(`^(ok  |FAIL|\?   )\t(\S+)`)

	errAbnormalEnd = errors.New("the test run ended abnormally")
)

// failure is a test that failed.
type failure struct {
	test      test
	ownOutput bool // the test itself printed something, so it may have failed on its own as well
}

// outputParser collects failures until the line that names their package.
type outputParser struct {
	failed        []failure // failures of packages that have ended
	current       []failure // failures of the current package; pkg is not set yet
	latestAtDepth []int     // by depth of nesting: index in current of the latest failure
}

// parseOutput parses the output of `go test` without -v for any number of packages.
func parseOutput(output io.Reader) ([]failure, error) {
	var p outputParser
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxOutputLine)
	for lines.Scan() {
		if err := p.parseLine(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(p.current) > 0 {
		return nil, fmt.Errorf("%w: no package result after %s", errAbnormalEnd, p.current[0].test.name)
	}
	return p.failed, nil
}

// parseLine processes one line.
func (p *outputParser) parseLine(line string) error {
	if abnormalEndPattern.MatchString(line) {
		return fmt.Errorf("%w: %s", errAbnormalEnd, line)
	}
	if match := failPattern.FindStringSubmatch(line); match != nil {
		depth := min(len(match[1])/indentWidth, len(p.latestAtDepth))
		p.latestAtDepth = append(p.latestAtDepth[:depth], len(p.current))
		p.current = append(p.current, failure{test: test{name: match[2]}})
		return nil
	}
	if match := logPattern.FindStringSubmatch(line); match != nil {
		if depth := len(match[1])/indentWidth - 1; depth >= 0 && depth < len(p.latestAtDepth) {
			p.current[p.latestAtDepth[depth]].ownOutput = true
		}
		return nil
	}
	if match := packagePattern.FindStringSubmatch(line); match != nil {
		return p.endPackage(strings.TrimSpace(match[1]), match[2])
	}
	return nil
}

// endPackage assigns the package to the failures collected since the previous package ended.
func (p *outputParser) endPackage(result, path string) error {
	if result == "FAIL" && len(p.current) == 0 {
		return fmt.Errorf("%w: %s failed, but none of its tests did", errAbnormalEnd, path)
	}
	for _, f := range p.current {
		f.test.pkg = path
		p.failed = append(p.failed, f)
	}
	p.current, p.latestAtDepth = nil, nil
	return nil
}

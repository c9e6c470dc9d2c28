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
	indentWidth   = 4       // of a subtest's lines, beyond its parent's
	maxOutputLine = 4 << 20 // bytes
)

var (
	// disorderPattern is of lines of a run that did not end in order, whatever tests failed.
	disorderPattern = regexp.MustCompile(`^panic:|^fatal error:|^WARNING: DATA RACE|^exit status|^signal:|\[(build|setup) failed\]|^\*\*\* Test killed`)
	failPattern     = regexp.MustCompile(`^( *)--- FAIL: (\S+) \(`)
	logPattern      = regexp.MustCompile(`^( +)\S+\.go:\d+: `)
	packagePattern  = regexp.MustCompile(`^(ok  |FAIL|\?   )\t(\S+)`)

	errDisorder = errors.New("a run that did not end in order")
)

// failure is a test that failed.
type failure struct {
	test      test
	ownOutput bool // it printed something itself: it may have failed by itself too
}

// outputParser collects failures until the line that names their package.
type outputParser struct {
	failed  []failure // of packages that have ended
	current []failure // of the present package, without its path
	open    []int     // indices in current of the latest failure of each depth
}

// parseOutput reads what `go test` printed without -v, over any number of packages.
func parseOutput(output io.Reader) ([]failure, error) {
	var p outputParser
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxOutputLine)
	for lines.Scan() {
		if err := p.take(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(p.current) > 0 {
		return nil, fmt.Errorf("%w: no package's end after %s", errDisorder, p.current[0].test.name)
	}
	return p.failed, nil
}

// take takes one line.
func (p *outputParser) take(line string) error {
	if disorderPattern.MatchString(line) {
		return fmt.Errorf("%w: %s", errDisorder, line)
	}
	if match := failPattern.FindStringSubmatch(line); match != nil {
		depth := min(len(match[1])/indentWidth, len(p.open))
		p.open = append(p.open[:depth], len(p.current))
		p.current = append(p.current, failure{test: test{name: match[2]}})
		return nil
	}
	if match := logPattern.FindStringSubmatch(line); match != nil {
		if depth := len(match[1])/indentWidth - 1; depth >= 0 && depth < len(p.open) {
			p.current[p.open[depth]].ownOutput = true
		}
		return nil
	}
	if match := packagePattern.FindStringSubmatch(line); match != nil {
		return p.endPackage(strings.TrimSpace(match[1]), match[2])
	}
	return nil
}

// endPackage gives the failures so far their package.
func (p *outputParser) endPackage(result, path string) error {
	if result == "FAIL" && len(p.current) == 0 {
		return fmt.Errorf("%w: %s failed without a test", errDisorder, path)
	}
	for _, f := range p.current {
		f.test.pkg = path
		p.failed = append(p.failed, f)
	}
	p.current, p.open = nil, nil
	return nil
}

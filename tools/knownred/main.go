// Command knownred reads the output of `go test -json` from standard input and fails on every
// test failure except those of a list of known failures, which it prints.
//
//	go test -json ./... | knownred KNOWN-RED.txt
//
// Each line of the list starts with PACKAGE.TEST and a tab; blank lines and lines that start
// with # are skipped. The exit code is 1 if any other test fails, if a test was still running
// when its process ended, if a package fails without a failing test, or if no test passes.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type results struct {
	known          map[string]bool
	output         map[string]*strings.Builder
	failed         map[string]bool
	passed         map[string]bool
	failedPackages map[string]bool
	// running has the tests that have started and not ended.
	running map[string]bool
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	known, err := readList(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rs := newResults(known)
	rs.readEvents(os.Stdin)
	os.Exit(rs.report())
}

func newResults(known map[string]bool) *results {
	return &results{
		known:          known,
		output:         make(map[string]*strings.Builder),
		failed:         make(map[string]bool),
		passed:         make(map[string]bool),
		failedPackages: make(map[string]bool),
		running:        make(map[string]bool),
	}
}

func readList(name string) (map[string]bool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, l := range strings.Split(string(text), "\n") {
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		test, _, _ := strings.Cut(l, "\t")
		known[test] = true
	}
	return known, nil
}

func (rs *results) readEvents(r io.Reader) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 16<<20)
	for s.Scan() {
		var e event
		if json.Unmarshal(s.Bytes(), &e) != nil {
			fmt.Println(s.Text())
			continue
		}
		rs.record(e)
	}
}

func (rs *results) record(e event) {
	key := e.Package + "." + e.Test
	if e.Test != "" {
		switch e.Action {
		case "run":
			rs.running[key] = true
		case "pass", "fail", "skip":
			delete(rs.running, key)
		}
	}
	switch {
	case e.Action == "output" && e.Test == "":
		if !strings.HasPrefix(e.Output, "PASS") {
			fmt.Print(e.Output)
		}
	case e.Action == "build-output":
		fmt.Print(e.Output)
	case e.Action == "output":
		if rs.output[key] == nil {
			rs.output[key] = &strings.Builder{}
		}
		rs.output[key].WriteString(e.Output)
	case e.Action == "fail" && e.Test == "":
		rs.failedPackages[e.Package] = true
	case e.Action == "fail":
		rs.failed[key] = true
	case e.Action == "pass" && e.Test != "":
		rs.passed[key] = true
	}
}

func (rs *results) report() int {
	code := 0
	for k := range rs.failed {
		if rs.allowed(k) {
			fmt.Printf("KNOWN RED: %s\n", k)
			continue
		}
		code = 1
		fmt.Printf("FAILED: %s\n%s", k, rs.output[k])
	}
	for k := range rs.running {
		code = 1
		fmt.Printf("NOT FINISHED: %s\n%s", k, rs.output[k])
	}
	for p := range rs.failedPackages {
		if !rs.hasFailedTest(p) {
			code = 1
			fmt.Printf("FAILED without a failing test: %s\n", p)
			rs.printUnfinished(p)
		}
	}
	for k := range rs.known {
		if rs.passed[k] {
			fmt.Printf("KNOWN RED but passed: %s; remove it from KNOWN-RED.txt\n", k)
		}
	}
	if len(rs.passed) == 0 {
		code = 1
		fmt.Println("FAILED: no test passed")
	}
	fmt.Printf("%d passed, %d failed\n", len(rs.passed), len(rs.failed)+len(rs.running))
	return code
}

// allowed reports whether a failed test is listed, or has failed subtests that are all allowed.
func (rs *results) allowed(key string) bool {
	if rs.known[key] {
		return true
	}
	subtests := 0
	for k := range rs.failed {
		if !strings.HasPrefix(k, key+"/") {
			continue
		}
		subtests++
		if !rs.allowed(k) {
			return false
		}
	}
	return subtests > 0
}

// printUnfinished prints the output of tests that neither passed nor failed. If the package
// crashed, its panic message is there.
func (rs *results) printUnfinished(pkg string) {
	for k, o := range rs.output {
		if strings.HasPrefix(k, pkg+".") && !rs.passed[k] && !rs.failed[k] {
			fmt.Print(o)
		}
	}
}

func (rs *results) hasFailedTest(pkg string) bool {
	for k := range rs.failed {
		if strings.HasPrefix(k, pkg+".") {
			return true
		}
	}
	return false
}

package main

import (
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	const (
		passed  = `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
		failed  = `{"Action":"run","Package":"p","Test":"TestB"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n"
		skipped = `{"Action":"run","Package":"p","Test":"TestC"}` + "\n" + `{"Action":"skip","Package":"p","Test":"TestC"}` + "\n"
		running = `{"Action":"run","Package":"p","Test":"TestD"}` + "\n"
		ended   = `{"Action":"fail","Package":"p"}` + "\n"
	)
	cases := []struct {
		name, events string
		known        []string
		code         int
	}{
		{name: "passed and skipped", events: passed + skipped},
		{name: "failed", events: passed + failed + ended, code: 1},
		{name: "known", events: passed + failed + ended, known: []string{"p.TestB"}},
		{name: "no test", events: ended, code: 1},
		{name: "process ended beside a known failure", events: passed + failed + running + ended, known: []string{"p.TestB"}, code: 1},
		{name: "process ended in a known failure", events: passed + running + ended, known: []string{"p.TestD"}, code: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known := make(map[string]bool)
			for _, k := range c.known {
				known[k] = true
			}
			rs := newResults(known)
			rs.readEvents(strings.NewReader(c.events))
			if code := rs.report(); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
		})
	}
}

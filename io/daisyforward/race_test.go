//go:build race

package daisyforward_test

const raceEnabled = true

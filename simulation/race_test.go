//go:build race

package simulation

const raceEnabled = true

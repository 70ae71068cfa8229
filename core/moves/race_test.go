//go:build race

package moves

const raceEnabled = true

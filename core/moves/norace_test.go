//go:build !race

package moves

const raceEnabled = false

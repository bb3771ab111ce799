//go:build race

package bubble

// raceEnabled tells whether the race detector is part of the build.
const raceEnabled = true

// Package quorum computes majorities of voters.
package quorum

import "slices"

// Size returns how many of n voters form a majority.
func Size(n int) int { return n/2 + 1 }

// Reached reports whether yes of n voters form a majority. No voters never do.
func Reached(yes, n int) bool { return n > 0 && yes >= Size(n) }

// Impossible reports whether no of n voters make a majority of the others
// impossible.
func Impossible(no, n int) bool { return n-no < Size(n) }

// Value returns the largest value that a majority of voters has reached, given
// one value per voter. It is 0 without voters. values is reordered.
func Value(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-Size(len(values))]
}

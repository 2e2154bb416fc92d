// Package quorum computes quorums, which are majorities of the voters.
package quorum

import "slices"

// Size returns how many of n voters form a quorum.
func Size(n int) int { return n/2 + 1 }

// Reached reports whether count of n voters form a quorum. It is false if n is 0.
func Reached(count, n int) bool { return n > 0 && count >= Size(n) }

// Impossible reports whether a quorum of n voters can no longer be reached after the given number of
// rejections.
func Impossible(rejections, n int) bool { return n-rejections < Size(n) }

// MajorityValue returns the largest value that a quorum of voters has reached or passed, given one
// value per voter. It returns 0 if values is empty. It sorts values in place.
func MajorityValue(values []uint64) uint64 { return ValueOf(values, Size(len(values))) }

// ValueOf returns the largest value that count voters have reached or passed, given one value per voter. It
// returns 0 if there are fewer voters. It sorts values in place.
func ValueOf(values []uint64, count int) uint64 {
	if count > len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-count]
}

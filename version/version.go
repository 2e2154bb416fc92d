// Package version contains the version that all programs report.
package version

// Version is the version of the source. Release builds set it with
// -ldflags "-X github.com/godwithub/godwithub/version.Version=...".
var Version = "0.1.0-dev"

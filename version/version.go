// Package version holds the version that all programs report.
package version

// Version is the release of the source. Builds of a release set it by
// -ldflags "-X github.com/godwithub/godwithub/version.Version=...".
var Version = "0.1.0-dev"

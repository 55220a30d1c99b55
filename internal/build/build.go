// Package build identifies the running build, so that operators can tell node
// versions apart during an upgrade.
package build

import "runtime/debug"

// version is the release version, set with -ldflags -X.
var version = ""

// revisionLength is the length of an abbreviated commit hash.
const revisionLength = 12

// Name returns the release version, else the abbreviated commit hash, with a "+"
// if the work tree was modified, else "unknown".
func Name() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return vcsRevision(info.Settings)
}

const unknown = "unknown"

// vcsRevision returns the commit recorded in the build settings.
func vcsRevision(settings []debug.BuildSetting) string {
	revision, dirtySuffix := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirtySuffix = "+"
		}
	}
	if revision == "" {
		return unknown
	}
	return revision + dirtySuffix
}

// Package build names the build that runs, so that operators can tell old nodes from
// new ones while these replace them.
package build

import "runtime/debug"

// version is set by the linker for releases.
var version = ""

// revisionLength is how much of a commit's name tells it from others.
const revisionLength = 12

// Name returns the release, else the commit that the program was built from, with a
// plus if the tree had changes, else "unknown".
func Name() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return revisionOf(info.Settings)
}

const unknown = "unknown"

// revisionOf reads the commit out of what the go command notes in a program.
func revisionOf(settings []debug.BuildSetting) string {
	revision, changed := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	if revision == "" {
		return unknown
	}
	return revision + changed
}

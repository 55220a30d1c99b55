// Package scores reads benchmark results from a site's journal and shows their
// history as a table and a plot.
package scores

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Day is the result of one benchmark day, a scenario of load and faults.
type Day struct {
	Name      string             `json:"name"`
	Value     float64            `json:"G"`
	FullScore *float64           `json:"top"` // value of a full score; nil if the day has none
	Rules     map[string]float64 `json:"rules"`
}

// Run is one benchmark run over a site's standard days.
type Run struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	At      []string `json:"at"`
	Head    string   `json:"head"` // benchmarked commit
	Site    string   `json:"site"`
	Score   *float64 `json:"score"`
	Days    []Day    `json:"days"`
}

// startTime returns the start time, for sorting, or "" if unknown.
func (r *Run) startTime() string {
	if len(r.At) == 0 {
		return ""
	}
	return r.At[0]
}

// shortHash is the length of an abbreviated commit hash.
const shortHash = 7

// Commit returns the abbreviated hash of the benchmarked commit.
func (r *Run) Commit() string { return r.Head[:min(shortHash, len(r.Head))] }

// Broken returns the number of rules violated on the day.
func (d *Day) Broken() int { return len(d.Rules) }

// scoreCommand is the command of benchmark runs in the journal; other entries are
// skipped.
const scoreCommand = "score"

// Site is all runs of a site, oldest first.
type Site struct {
	Name string
	Runs []Run
}

// randomPrefix is the name prefix of days that are generated anew for each run.
const randomPrefix = "fresh-"

// Days returns the names of the days that all runs of the site share, in the
// order of the latest run. Days that were generated for a single run, or have no full
// score in the latest one, are omitted.
func (s *Site) Days() []string {
	var names []string
	newest := s.Runs[len(s.Runs)-1]
	for _, d := range newest.Days {
		if d.FullScore != nil && !strings.HasPrefix(d.Name, randomPrefix) && !slices.Contains(names, d.Name) && s.inAll(d.Name) {
			names = append(names, d.Name)
		}
	}
	return names
}

func (s *Site) inAll(name string) bool {
	for i := range s.Runs {
		if s.Runs[i].day(name) == nil {
			return false
		}
	}
	return true
}

// day returns the day with the given name, or nil.
func (r *Run) day(name string) *Day {
	for i := range r.Days {
		if r.Days[i].Name == name {
			return &r.Days[i]
		}
	}
	return nil
}

// Read reads the runs of all sites from a journal folder, sorted by site name.
// Errors name the file that cannot be parsed.
func Read(folder string) ([]Site, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	bySite := map[string][]Run{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r Run
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, errors.Wrap(err, file)
		}
		if r.Command == scoreCommand && r.Site != "" && len(r.Days) > 0 {
			bySite[r.Site] = append(bySite[r.Site], r)
		}
	}
	var sites []Site
	for name, runs := range bySite {
		slices.SortFunc(runs, func(a, b Run) int {
			if a.startTime() < b.startTime() {
				return -1
			}
			return 1
		})
		sites = append(sites, Site{Name: name, Runs: runs})
	}
	slices.SortFunc(sites, func(a, b Site) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return sites, nil
}

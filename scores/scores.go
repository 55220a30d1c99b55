// Package scores reads the journal of a site's measured days and shows how
// their worth went over time, as a table and as a plot.
package scores

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Day is one measured day of a run.
type Day struct {
	Name  string             `json:"name"`
	Worth float64            `json:"G"`
	Full  *float64           `json:"top"` // worth that counts as full score; nil where the day has none
	Rules map[string]float64 `json:"rules"`
}

// Run is one scoring of a site's standard days.
type Run struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	At      []string `json:"at"`
	Head    string   `json:"head"` // commit that was measured
	Site    string   `json:"site"`
	Score   *float64 `json:"score"`
	Days    []Day    `json:"days"`
}

// began returns when the run began, for ordering.
func (r *Run) began() string {
	if len(r.At) == 0 {
		return ""
	}
	return r.At[0]
}

// shortHash is how many letters of a commit's name are shown.
const shortHash = 7

// Commit returns the short name of the commit that was measured.
func (r *Run) Commit() string { return r.Head[:min(shortHash, len(r.Head))] }

// Broken counts the rules that a day broke.
func (d *Day) Broken() int { return len(d.Rules) }

const scoreCommand = "score"

// Site is every run of one site, oldest first.
type Site struct {
	Name string
	Runs []Run
}

// drawnPrefix begins the names of days that are drawn anew for each run.
const drawnPrefix = "fresh-"

// Days names the days of a site that every run shares, in the order of the
// newest run. Days that are drawn anew for each run are left out.
func (s *Site) Days() []string {
	var names []string
	newest := s.Runs[len(s.Runs)-1]
	for _, d := range newest.Days {
		if d.Full != nil && !strings.HasPrefix(d.Name, drawnPrefix) && !slices.Contains(names, d.Name) && s.inAll(d.Name) {
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

// day returns a day by its name, or nil.
func (r *Run) day(name string) *Day {
	for i := range r.Days {
		if r.Days[i].Name == name {
			return &r.Days[i]
		}
	}
	return nil
}

// Read reads a journal's folder: the scorings of every site, by its name.
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
			if a.began() < b.began() {
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

package load

import (
	"bytes"
	"runtime/pprof"
	"time"

	"github.com/google/pprof/profile"
	"github.com/walnutramp/walnutramp/internal/part"
)

// cpuProfile splits the process's processor time by part of the system.
type cpuProfile struct {
	buf bytes.Buffer
}

func startProfile() (*cpuProfile, error) {
	p := &cpuProfile{}
	if err := pprof.StartCPUProfile(&p.buf); err != nil {
		return nil, err
	}
	return p, nil
}

// stop ends the profile and returns processor time by part. Work without a
// label, the stand-ins and the load itself, is under the empty name.
func (p *cpuProfile) stop() (map[string]time.Duration, error) {
	pprof.StopCPUProfile()
	prof, err := profile.Parse(&p.buf)
	if err != nil {
		return nil, err
	}
	sums := map[string]time.Duration{}
	for _, s := range prof.Sample {
		name := ""
		if labels := s.Label[part.Label]; len(labels) > 0 {
			name = labels[0]
		}
		sums[name] += time.Duration(s.Value[len(s.Value)-1])
	}
	return sums, nil
}

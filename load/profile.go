package load

import (
	"bytes"
	"os"
	"runtime/pprof"
	"time"

	"github.com/google/pprof/profile"
	"github.com/walnutramp/walnutramp/internal/part"
)

// cpuProfile is a CPU profile of the process, split by subsystem.
type cpuProfile struct {
	buf  bytes.Buffer
	file string // output file; empty for none
}

func startProfile(file string) (*cpuProfile, error) {
	p := &cpuProfile{file: file}
	if err := pprof.StartCPUProfile(&p.buf); err != nil {
		return nil, err
	}
	return p, nil
}

// stop ends the profile and returns the CPU time by subsystem label. The empty label
// is the time of the stand-ins and the load generator.
func (p *cpuProfile) stop() (map[string]time.Duration, error) {
	pprof.StopCPUProfile()
	if p.file != "" {
		if err := os.WriteFile(p.file, p.buf.Bytes(), 0o644); err != nil {
			return nil, err
		}
	}
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

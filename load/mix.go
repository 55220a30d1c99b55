package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Mix describes a workload: requests and injected failures. The same mix gives the
// same requests in each run.
type Mix struct {
	Seed         uint64
	Duration     time.Duration // time during which new requests arrive
	Drafts       float64       // per second
	Lookups      float64       // per second
	OutputMean   int           // tokens
	OutputMax    int
	PromptMean   int // tokens
	PromptShared int // tokens of the common prefix of an account's prompts
	Failures     []Failure
}

// DefaultMix returns a light mix of short drafts and lookups, without failures.
func DefaultMix() Mix {
	return Mix{
		Seed: 1, Duration: 20 * time.Second, Drafts: 10, Lookups: 20,
		OutputMean: 150, OutputMax: 600, PromptMean: 300, PromptShared: 100,
	}
}

// FailureKind is the kind of an injected failure.
type FailureKind string

// Kinds of injected failures.
const (
	KillEngine  FailureKind = "kill-engine"
	StallEngine FailureKind = "stall-engine"
	ResetEngine FailureKind = "reset-engine"
	KillNode    FailureKind = "kill-node"
	StopNode    FailureKind = "stop-node"
	KillHall    FailureKind = "kill-hall" // kills all engines of a data hall
)

var failureKinds = []FailureKind{KillEngine, StallEngine, ResetEngine, KillNode, StopNode, KillHall}

// Failure is one entry of the failure plan. The affected component is chosen by the
// seed and restarted after For.
type Failure struct {
	Kind FailureKind   `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
}

const defaultOutage = 2 * time.Second

// ParsePlan parses a failure plan: comma-separated entries "kind@time[+outage]", such
// as "kill-engine@5s+3s,kill-node@8s", or "kind*n[+outage]" for n failures spread
// evenly over duration. The plan is sorted by time.
func ParsePlan(s string, duration time.Duration) ([]Failure, error) {
	var plan []Failure
	for _, entry := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		fs, err := parseFailure(strings.TrimSpace(entry), duration)
		if err != nil {
			return nil, err
		}
		plan = append(plan, fs...)
	}
	slices.SortStableFunc(plan, func(a, b Failure) int { return int(a.At - b.At) })
	return plan, nil
}

func parseFailure(entry string, duration time.Duration) ([]Failure, error) {
	syntaxErr := errors.Newf("%q: want kind@time[+outage] or kind*n, kind one of %v", entry, failureKinds)
	head, outageText, hasOutage := strings.Cut(entry, "+")
	outage := defaultOutage
	if hasOutage {
		var err error
		if outage, err = time.ParseDuration(outageText); err != nil {
			return nil, syntaxErr
		}
	}
	if kind, times, ok := strings.Cut(head, "*"); ok {
		n, err := strconv.Atoi(times)
		if err != nil || n < 1 || !slices.Contains(failureKinds, FailureKind(kind)) {
			return nil, syntaxErr
		}
		return spreadEvenly(FailureKind(kind), n, duration, outage), nil
	}
	kind, at, ok := strings.Cut(head, "@")
	t, err := time.ParseDuration(at)
	if !ok || err != nil || !slices.Contains(failureKinds, FailureKind(kind)) {
		return nil, syntaxErr
	}
	return []Failure{{Kind: FailureKind(kind), At: t, For: outage}}, nil
}

func spreadEvenly(kind FailureKind, n int, duration, outage time.Duration) []Failure {
	var plan []Failure
	for i := range n {
		at := duration * time.Duration(i+1) / time.Duration(n+1)
		plan = append(plan, Failure{Kind: kind, At: at, For: outage})
	}
	return plan
}

// arrival is a planned request.
type arrival struct {
	at      time.Duration
	account int
	lookup  bool
	output  int
	prompt  string
	node    int
}

// arrivals generates the planned requests from the seed, sorted by time. They are
// the same for every variant.
func (m Mix) arrivals(s Shape) []arrival {
	rng := rand.New(rand.NewPCG(m.Seed, 3))
	var plan []arrival
	add := func(rate float64, lookup bool) {
		for at := interarrival(rng, rate); at < m.Duration; at += interarrival(rng, rate) {
			a := arrival{at: at, account: s.drawAccount(rng), lookup: lookup, node: rng.IntN(s.Nodes)}
			if !lookup {
				a.output = min(lognormal(rng, m.OutputMean), m.OutputMax)
				a.prompt = m.prompt(rng, a.account, len(plan))
			}
			plan = append(plan, a)
		}
	}
	add(m.Drafts, false)
	add(m.Lookups, true)
	slices.SortStableFunc(plan, func(a, b arrival) int { return int(a.at - b.at) })
	return plan
}

func interarrival(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// lognormal returns a random length from a log-normal distribution with the given
// mean.
func lognormal(rng *rand.Rand, mean int) int {
	const sigma = 0.6
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return max(1, int(math.Exp(mu+sigma*rng.NormFloat64())))
}

func (s Shape) drawAccount(rng *rand.Rand) int {
	total := 0
	for i := range s.Accounts {
		total += s.weight(i)
	}
	n := rng.IntN(total)
	for i := range s.Accounts {
		if n -= s.weight(i); n < 0 {
			return i
		}
	}
	return 0
}

// promptTokenBytes is the length of a prompt token of the stand-in engine.
const promptTokenBytes = 4

func (m Mix) prompt(rng *rand.Rand, account, n int) string {
	shared := strings.Repeat(fmt.Sprintf("%03d ", account), m.PromptShared*promptTokenBytes/4)
	own := max(lognormal(rng, m.PromptMean)-m.PromptShared, 1)
	return shared + strings.Repeat(fmt.Sprintf("%03d ", n%1000), own*promptTokenBytes/4)
}

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/serve"
)

// rolloutCommand groups the commands that start and watch roll-outs.
type rolloutCommand struct {
	Start  rolloutStartCommand  `command:"start" description:"start the roll-out of a version of a service"`
	Status rolloutStatusCommand `command:"status" description:"show the latest roll-out of a service: its state, the reason of its end, and the request counts by version and route"`
	Watch  rolloutWatchCommand  `command:"watch" description:"show the status periodically until the roll-out has ended"`
}

func newRolloutCommand(p *program) *rolloutCommand {
	return &rolloutCommand{
		Start:  rolloutStartCommand{rolloutOptions: rolloutOptions{program: p}},
		Status: rolloutStatusCommand{rolloutOptions: rolloutOptions{program: p}},
		Watch:  rolloutWatchCommand{rolloutStatusCommand: rolloutStatusCommand{rolloutOptions: rolloutOptions{program: p}}},
	}
}

// rolloutOptions selects the member to connect to and the service.
type rolloutOptions struct {
	*program
	Member  string `long:"member" env:"WALNUTRAMP_MEMBER" required:"yes" description:"any member of the control group, by the numeric host:port of its peer listener"`
	Service string `long:"service" required:"yes" description:"name of the service"`
}

func (m *rolloutOptions) client() (*control.Client, func(), error) {
	if _, err := netip.ParseAddrPort(m.Member); err != nil {
		return nil, nil, &settingError{"--member", m.Member, "a numeric host:port"}
	}
	client, closeClient := serve.NewOperatorClient(m.Member)
	return client, closeClient, nil
}

type rolloutStartCommand struct {
	rolloutOptions
	Version  string        `long:"version" required:"yes" description:"the version to roll out"`
	Duration time.Duration `long:"duration" required:"yes" description:"time within which the roll-out has to end"`
}

// Execute implements flags.Commander.
func (c *rolloutStartCommand) Execute([]string) error {
	client, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	rec, err := client.StartRollout(context.Background(), c.Service, c.Version, c.Duration)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: roll-out %d to %s is %s\n", c.Service, rec.Number, rec.Target, rec.State)
	return nil
}

type rolloutStatusCommand struct {
	rolloutOptions
	JSON bool `long:"json" description:"print one JSON object"`
}

// Execute implements flags.Commander.
func (c *rolloutStatusCommand) Execute([]string) error {
	client, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	_, err = c.show(client)
	return err
}

// show prints the status once.
func (c *rolloutStatusCommand) show(client *control.Client) (rollout.State, error) {
	reply, err := client.Rollout(context.Background(), c.Service)
	if err != nil {
		return "", err
	}
	report := newRolloutReport(&reply)
	if c.JSON {
		return reply.Record.State, json.NewEncoder(c.out).Encode(report)
	}
	return reply.Record.State, report.write(c.out)
}

type rolloutWatchCommand struct {
	rolloutStatusCommand
	Every time.Duration `long:"every" default:"1s" description:"interval between status requests"`
}

// Execute implements flags.Commander.
func (c *rolloutWatchCommand) Execute([]string) error {
	if c.Every <= 0 {
		return &settingError{"--every", c.Every.String(), "a duration above 0"}
	}
	client, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	for {
		state, err := c.show(client)
		if walnutramp.HasCode(err, walnutramp.CodeNoLeader) {
			fmt.Fprintln(c.err, "walnutramp:", err) // a new leader is elected soon
		} else if err != nil || state != rollout.Running {
			return err
		}
		time.Sleep(c.Every)
	}
}

// rolloutReport is the status output, as text or JSON.
type rolloutReport struct {
	Service   string       `json:"service"`
	Number    uint64       `json:"number"`
	Version   string       `json:"version"`
	InForce   []string     `json:"in_force"`
	State     string       `json:"state"`
	Stage     string       `json:"stage,omitempty"`
	ElapsedS  float64      `json:"elapsed_s"`
	DurationS float64      `json:"duration_s"`
	Reason    string       `json:"reason,omitempty"`
	Score     float64      `json:"score"`
	Evidence  string       `json:"evidence,omitempty"`
	Answers   []answersRow `json:"answers,omitempty"`
}

// answersRow holds the request counts of a version on a route.
type answersRow struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Sent    uint32 `json:"sent"`
	Served  uint32 `json:"served"`
	Failed  uint32 `json:"failed"`
	Lost    uint32 `json:"lost"`
}

var stageNames = map[rollout.Stage]string{rollout.StageCanary: "canary", rollout.StageShift: "shift"}

func newRolloutReport(reply *control.RolloutReply) *rolloutReport {
	rec := &reply.Record
	r := &rolloutReport{
		Service: rec.Service, Number: rec.Number, Version: rec.Target, InForce: rec.InForce, State: string(rec.State),
		ElapsedS: rec.Elapsed.Seconds(), DurationS: rec.Duration.Seconds(), Reason: rec.Reason,
	}
	if rec.State == rollout.Running {
		r.Stage, r.ElapsedS = stageNames[rec.Stage], reply.Elapsed.Seconds()
	}
	if reply.Verdict.Answers > 0 {
		r.Score, r.Evidence = reply.Verdict.Score, reply.Verdict.Evidence
	}
	r.addAnswers(reply.Sums)
	return r
}

// addAnswers sums the cells by version and route.
func (r *rolloutReport) addAnswers(cells []rollout.Cell) {
	sums := map[rollout.Key]rollout.Counts{}
	for _, cell := range cells {
		key := rollout.Key{Version: cell.Key.Version, Route: cell.Key.Route}
		sum := sums[key]
		sum.Add(cell.Counts)
		sums[key] = sum
	}
	for key, sum := range sums {
		r.Answers = append(r.Answers, answersRow{
			Version: key.Version, Route: key.Route, Sent: sum.Sent, Served: sum.Served, Failed: sum.Failed, Lost: sum.Lost,
		})
	}
	slices.SortFunc(r.Answers, func(a, b answersRow) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
}

func (r *rolloutReport) write(w io.Writer) error {
	fmt.Fprintf(w, "%s to %s: %s %s, %.1f of %.1f s, in force %v\n", r.Service, r.Version, r.State, r.Stage, r.ElapsedS, r.DurationS, r.InForce)
	if r.Reason != "" {
		fmt.Fprintf(w, "because: %s\n", r.Reason)
	}
	if r.Evidence != "" {
		fmt.Fprintf(w, "most against it: %s (likelihood %.1f)\n", r.Evidence, r.Score)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\tversion\tsent\tserved\tfailed\tlost")
	for _, a := range r.Answers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", a.Route, a.Version, a.Sent, a.Served, a.Failed, a.Lost)
	}
	return t.Flush()
}

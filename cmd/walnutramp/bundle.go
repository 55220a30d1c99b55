package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/keys"
	"github.com/walnutramp/walnutramp/operator"
	"github.com/walnutramp/walnutramp/wal"
)

// bundleCommand groups the operators' commands on bundles.
type bundleCommand struct {
	Check   checkCommand   `command:"check" description:"validate a bundle and print all errors"`
	Diff    diffCommand    `command:"diff" description:"show the differences between two bundles"`
	Sign    signCommand    `command:"sign" description:"sign a bundle"`
	Submit  submitCommand  `command:"submit" description:"submit a signed bundle"`
	Status  statusCommand  `command:"status" description:"show which version is in force on which node"`
	History historyCommand `command:"history" description:"list the accepted bundles"`
}

func newBundleCommand(p *program) *bundleCommand {
	return &bundleCommand{
		Check: checkCommand{program: p}, Diff: diffCommand{program: p}, Sign: signCommand{program: p},
		Submit: submitCommand{program: p}, Status: statusCommand{program: p}, History: historyCommand{program: p},
	}
}

type checkCommand struct {
	*program
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	b, err := readBundle("FILE", c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "bundle %d of site %s is good: %d models, %d targets, %d services, %d accounts\n",
		b.Version, b.Site, len(b.Models), len(b.Targets), len(b.Services), len(b.Accounts))
	return nil
}

type diffCommand struct {
	*program
	Args struct {
		Old string `positional-arg-name:"OLD" required:"true"`
		New string `positional-arg-name:"NEW" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	oldDoc, err := os.ReadFile(c.Args.Old)
	if err != nil {
		return err
	}
	newDoc, err := os.ReadFile(c.Args.New)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(oldDoc)), B: difflib.SplitLines(string(newDoc)),
		FromFile: c.Args.Old, ToFile: c.Args.New, Context: 2,
	})
	fmt.Fprint(c.out, text)
	return err
}

// signatureSuffix is appended to a bundle's file name for its signature.
const signatureSuffix = ".sig"

type signCommand struct {
	*program
	Operator string `long:"operator" env:"WALNUTRAMP_OPERATOR" required:"true" description:"name of the operator that the key belongs to"`
	Key      string `long:"key" env:"WALNUTRAMP_OPERATOR_KEY" required:"true" description:"file with the private key"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *signCommand) Execute([]string) error {
	if _, err := readBundle("FILE", c.Args.File); err != nil {
		return err
	}
	doc, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	key, err := os.ReadFile(c.Key)
	if err != nil {
		return &settingError{"--key", c.Key, "a file that can be read"}
	}
	sig, err := bundle.Sign(doc, c.Operator, string(key))
	if err != nil {
		return &settingError{"--key", c.Key, "a private key made by 'walnutramp keys'"}
	}
	return os.WriteFile(c.Args.File+signatureSuffix, []byte(c.Operator+"\n"+encodeSignature(sig)+"\n"), 0o644)
}

// nodeOption selects the node that an operator's command connects to.
type nodeOption struct {
	Node string `long:"node" env:"WALNUTRAMP_NODE" default:"127.0.0.1:8080" description:"numeric IP:port of any node, as callers reach it"`
}

const operatorTimeout = 10 * time.Second

func (o *nodeOption) client() (*resty.Client, error) {
	if err := checkAddress("--node", o.Node); err != nil {
		return nil, err
	}
	return resty.New().SetBaseURL("http://" + o.Node).SetTimeout(operatorTimeout), nil
}

type submitCommand struct {
	*program
	nodeOption
	Wait time.Duration `long:"wait" description:"wait this long for the bundle to be in force on all live nodes"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	b, err := readBundle("FILE", c.Args.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	doc, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	sig, err := readSignature(c.Args.File + signatureSuffix)
	if err != nil {
		return err
	}
	var answer operator.Answer
	_, err = client.R().SetBody(operator.Submission{Doc: doc, Signature: sig}).SetResult(&answer).SetError(&answer).Post("/operator/bundles")
	if err != nil {
		return errors.Wrap(err, "no response; the bundle may have been accepted, submit the same file again")
	}
	if answer.Code != walnutramp.CodeOK {
		return errors.Newf("%v (%s): %s; the accepted bundle is version %d by %s", answer.Code, answer.Outcome, answer.Message, answer.Version, answer.Winner)
	}
	fmt.Fprintf(c.out, "bundle %d accepted, digest %s\n", answer.Version, answer.Digest)
	if c.Wait > 0 {
		return c.await(client, b.Version)
	}
	return nil
}

const statusPollInterval = 100 * time.Millisecond

// await waits until the version is in force on all live nodes. After the timeout it
// returns an error that lists the remaining ones.
func (c *submitCommand) await(client *resty.Client, version uint64) error {
	deadline := time.Now().Add(c.Wait)
	for {
		status, err := fetchStatus(client)
		if err != nil {
			return err
		}
		pending := nodesBehind(status, version)
		if len(pending) == 0 {
			fmt.Fprintf(c.out, "in force on all %d live nodes\n", len(status.Nodes))
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("accepted, but not in force after %v on: %v", c.Wait, pending)
		}
		time.Sleep(statusPollInterval)
	}
}

func nodesBehind(s operator.Status, version uint64) []walnutramp.NodeName {
	var pending []walnutramp.NodeName
	for _, n := range s.Nodes {
		if n.Version < version || !n.InForce {
			pending = append(pending, n.Node)
		}
	}
	return pending
}

func fetchStatus(client *resty.Client) (operator.Status, error) {
	var s operator.Status
	resp, err := client.R().SetResult(&s).Get("/operator/status")
	if err == nil && resp.IsError() {
		err = errors.Newf("the node responded with status %d", resp.StatusCode())
	}
	return s, err
}

type statusCommand struct {
	*program
	nodeOption
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := fetchStatus(client)
	if err != nil {
		return err
	}
	for _, n := range s.Nodes {
		state := "takes new work"
		switch {
		case !n.Answered:
			state = "does not answer"
		case n.Stopping:
			state = "is stopping"
		case !n.InForce:
			state = "takes no new work: it cannot confirm its bundle"
		}
		fmt.Fprintf(c.out, "%-16s %-12s bundle %-6d %s\n", n.Node, n.DataHall, n.Version, state)
	}
	return nil
}

type historyCommand struct {
	*program
	nodeOption
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var h control.HistoryReply
	resp, err := client.R().SetResult(&h).Get("/operator/bundles")
	if err != nil {
		return err
	}
	if resp.IsError() {
		return errors.Newf("the node responded with status %d", resp.StatusCode())
	}
	for _, a := range h.Accepted {
		if a.Version > 0 {
			fmt.Fprintf(c.out, "%6d  %s  %s  %s\n", a.Version, time.UnixMilli(a.At).UTC().Format(time.RFC3339), a.Operator, a.Digest[:16])
		}
	}
	fmt.Fprintf(c.out, "leader %s, term %d, log applied to %d of %d\n", h.Group.Leader, h.Group.Term, h.Group.Applied, h.Group.Last)
	return nil
}

// controlCommand groups the commands on the data directories of control group
// members.
type controlCommand struct {
	Found foundCommand `command:"found" description:"initialize an empty data directory of a founder; only once, when the site is set up"`
}

func newControlCommand(p *program) *controlCommand {
	return &controlCommand{Found: foundCommand{program: p}}
}

type foundCommand struct {
	*program
	Data string `long:"data" env:"WALNUTRAMP_DATA" required:"true" description:"data directory, created if missing"`
}

// Execute implements flags.Commander.
func (c *foundCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Data, 0o700); err != nil {
		return err
	}
	if err := control.WriteFounderIdentity(wal.Dir(c.Data)); err != nil {
		return &settingError{"--data", c.Data, "an unused data directory (" + err.Error() + ")"}
	}
	fmt.Fprintln(c.out, "founded:", c.Data)
	return nil
}

type keysCommand struct {
	*program
	Out       string   `long:"out" required:"true" description:"directory for the keys, created if missing"`
	Site      string   `long:"site" env:"WALNUTRAMP_SITE" default:"default" description:"name of the site"`
	Nodes     []string `long:"node" description:"name of a node; can be repeated"`
	Operators []string `long:"operator" description:"name of an operator; can be repeated"`
}

// Execute implements flags.Commander.
func (c *keysCommand) Execute([]string) error {
	if err := keys.MakeSite(c.Out, c.Site, nodeNames(c.Nodes)); err != nil {
		return err
	}
	var publicKeys string
	for _, o := range c.Operators {
		pub, private, err := bundle.NewOperatorKey()
		if err != nil {
			return err
		}
		publicKeys += o + " " + pub + "\n"
		if err := os.WriteFile(c.Out+"/operator-"+o+".key", []byte(private+"\n"), 0o600); err != nil {
			return err
		}
	}
	if publicKeys != "" {
		if err := os.WriteFile(c.Out+"/operators", []byte(publicKeys), 0o644); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.out, "keys for %d nodes and %d operators are in %s\n", len(c.Nodes), len(c.Operators), c.Out)
	return nil
}

package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/keys"
	"github.com/walnutramp/walnutramp/member"
	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

type nodeCommand struct {
	*program
	Name         string        `long:"name" env:"WALNUTRAMP_NAME" required:"true" description:"name of this node, the same across restarts"`
	Hall         string        `long:"hall" env:"WALNUTRAMP_HALL" required:"true" description:"data hall this node stands in"`
	Site         string        `long:"site" env:"WALNUTRAMP_SITE" default:"default" description:"site; nodes of different sites refuse each other"`
	Callers      string        `long:"callers" env:"WALNUTRAMP_CALLERS" default:"127.0.0.1:8080" description:"numeric IP:port to answer callers on"`
	PeerListen   string        `long:"peer-listen" env:"WALNUTRAMP_PEER_LISTEN" default:"127.0.0.1:7080" description:"numeric IP:port to answer other nodes on"`
	PeerAddress  string        `long:"peer-address" env:"WALNUTRAMP_PEER_ADDRESS" description:"numeric IP:port at which other nodes reach this one; default as --peer-listen"`
	Peers        []string      `long:"peer" env:"WALNUTRAMP_PEERS" env-delim:"," description:"another node, as name=hall@IP:port; may be given again"`
	Bundle       string        `long:"bundle" env:"WALNUTRAMP_BUNDLE" description:"file with the bundle, on sites without a control group"`
	Control      []string      `long:"control" env:"WALNUTRAMP_CONTROL" env-delim:"," description:"name of a node of the control group; give each of its 3 or 5"`
	Data         string        `long:"data" env:"WALNUTRAMP_DATA" description:"data folder, on nodes with a disk; made ready with 'control found' on the founders"`
	Operators    string        `long:"operators" env:"WALNUTRAMP_OPERATORS" description:"file with the operators' public keys, a name and a key on each line"`
	Keys         string        `long:"keys" env:"WALNUTRAMP_KEYS" description:"folder with the site's keys; without it nodes trust whoever reaches their peer port"`
	Platform     string        `long:"platform" env:"WALNUTRAMP_PLATFORM" description:"URL of the platform's list of instances, with a numeric address"`
	LoadInterval time.Duration `long:"load-interval" env:"WALNUTRAMP_LOAD_INTERVAL" default:"500ms" description:"shortest time between load reports of one target"`
	ProbePeriod  time.Duration `long:"probe-period" env:"WALNUTRAMP_PROBE_PERIOD" default:"500ms" description:"time between membership probes"`
	StopDeadline time.Duration `long:"stop-deadline" env:"WALNUTRAMP_STOP_DEADLINE" default:"10m" description:"how long running work may go on after a planned stop was asked for"`
	Check        bool          `long:"check" description:"check the settings and the bundle, and end"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(c.out, "settings and bundle are good")
		return nil
	}
	n, err := node.New(opts...)
	if err != nil {
		return err
	}
	return c.serve(n)
}

// options checks every setting and turns them into the node's options.
func (c *nodeCommand) options() ([]node.Option, error) {
	if c.PeerAddress == "" {
		c.PeerAddress = c.PeerListen
	}
	for setting, value := range map[string]string{"--callers": c.Callers, "--peer-listen": c.PeerListen, "--peer-address": c.PeerAddress} {
		if err := checkAddress(setting, value); err != nil {
			return nil, err
		}
	}
	for setting, value := range map[string]time.Duration{"--load-interval": c.LoadInterval, "--probe-period": c.ProbePeriod, "--stop-deadline": c.StopDeadline} {
		if value < time.Millisecond {
			return nil, &settingError{setting, value.String(), "a duration of 1ms or more"}
		}
	}
	peers, err := parsePeers(c.Peers)
	if err != nil {
		return nil, err
	}
	source, err := c.bundleOptions()
	if err != nil {
		return nil, err
	}
	secured, err := c.keyOptions()
	if err != nil {
		return nil, err
	}
	opts := append(source, secured...)
	return append(opts,
		node.WithName(walnutramp.NodeName(c.Name), walnutramp.DataHall(c.Hall)),
		node.WithSite(c.Site),
		node.WithPlatform(c.Platform),
		node.WithPeers(c.PeerAddress, peers),
		node.WithLoadInterval(c.LoadInterval),
		node.WithProbePeriod(c.ProbePeriod),
		node.WithStopDeadline(c.StopDeadline),
		node.WithSeed(uint64(time.Now().UnixNano())),
	), nil
}

// bundleOptions says where the bundle comes from: a file, or the control
// group.
func (c *nodeCommand) bundleOptions() ([]node.Option, error) {
	if len(c.Control) == 0 {
		if c.Bundle == "" {
			return nil, &settingError{"--bundle", "", "a file with a bundle, unless --control names a control group"}
		}
		b, err := readBundle("--bundle", c.Bundle)
		return []node.Option{node.WithBundle(b)}, err
	}
	if c.Bundle != "" {
		return nil, &settingError{"--bundle", c.Bundle, "nothing where --control is given: bundles are submitted"}
	}
	if n := len(c.Control); n != 1 && n != 3 && n != 5 {
		return nil, &settingError{"--control", strings.Join(c.Control, ","), "the names of 1, 3 or 5 nodes"}
	}
	file, err := os.ReadFile(c.Operators)
	if err != nil {
		return nil, &settingError{"--operators", c.Operators, "a file that can be read"}
	}
	operators, err := bundle.ParseOperators(file)
	if err != nil {
		return nil, &settingError{"--operators", c.Operators, "a file of names and public keys: " + err.Error()}
	}
	opts := []node.Option{node.WithControl(names(c.Control), operators)}
	if c.Data == "" {
		return opts, nil
	}
	if info, err := os.Stat(c.Data); err != nil || !info.IsDir() {
		return nil, &settingError{"--data", c.Data, "a folder that exists"}
	}
	fatal := consensus.WithOnFatal(func(err error) {
		klog.ErrorS(err, "The disk failed; the process ends")
		klog.Flush()
		os.Exit(exitFailed)
	})
	return append(opts, node.WithDisk(wal.Dir(c.Data)), node.WithControlOptions(fatal)), nil
}

func names(values []string) []walnutramp.NodeName {
	var ns []walnutramp.NodeName
	for _, v := range values {
		ns = append(ns, walnutramp.NodeName(v))
	}
	return ns
}

func (c *nodeCommand) keyOptions() ([]node.Option, error) {
	if c.Keys == "" {
		return nil, nil
	}
	cfg, err := keys.Load(c.Keys, walnutramp.NodeName(c.Name))
	if err != nil {
		return nil, &settingError{"--keys", c.Keys, "a folder made by 'walnutramp keys' with this node's keys (" + err.Error() + ")"}
	}
	return []node.Option{node.WithTLS(cfg)}, nil
}

func checkAddress(setting, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &settingError{setting, value, "a numeric IP:port, such as 127.0.0.1:8080"}
	}
	return nil
}

// parsePeers reads name=hall@IP:port.
func parsePeers(values []string) ([]member.Node, error) {
	var peers []member.Node
	for _, v := range values {
		name, rest, ok := strings.Cut(v, "=")
		hall, address, ok2 := strings.Cut(rest, "@")
		if _, err := netip.ParseAddrPort(address); !ok || !ok2 || name == "" || hall == "" || err != nil {
			return nil, &settingError{"--peer", v, "name=hall@IP:port"}
		}
		peers = append(peers, member.Node{Name: walnutramp.NodeName(name), DataHall: walnutramp.DataHall(hall), Address: address})
	}
	return peers, nil
}

func readBundle(setting, file string) (*bundle.Bundle, error) {
	doc, err := os.ReadFile(file)
	if err != nil {
		return nil, &settingError{setting, file, "a file that can be read (" + err.Error() + ")"}
	}
	b, err := bundle.Parse(doc)
	if err != nil {
		return nil, &settingError{setting, file, "a bundle without mistakes:\n" + err.Error()}
	}
	return b, nil
}

// serve runs the node until a signal; a second signal ends it at once.
func (c *nodeCommand) serve(n *node.Node) error {
	callers, err := net.Listen("tcp", c.Callers)
	if err != nil {
		return errors.Wrap(err, "--callers")
	}
	peers, err := net.Listen("tcp", c.PeerListen)
	if err != nil {
		return errors.Wrap(err, "--peer-listen")
	}
	if err := n.Start(callers, peers); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		klog.InfoS("Second signal: stopping at once", "node", c.Name)
		cancel()
	}()
	n.Stop(ctx)
	return nil
}

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
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/keys"
	"github.com/walnutramp/walnutramp/member"
	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

type nodeCommand struct {
	*program
	Name         string        `long:"name" env:"WALNUTRAMP_NAME" required:"true" description:"name of this node; must not change across restarts"`
	Hall         string        `long:"hall" env:"WALNUTRAMP_HALL" required:"true" description:"data hall of this node"`
	Site         string        `long:"site" env:"WALNUTRAMP_SITE" default:"default" description:"name of the site; nodes reject peers of other sites"`
	Callers      string        `long:"callers" env:"WALNUTRAMP_CALLERS" default:"127.0.0.1:8080" description:"numeric IP:port to listen on for callers"`
	PeerListen   string        `long:"peer-listen" env:"WALNUTRAMP_PEER_LISTEN" default:"127.0.0.1:7080" description:"numeric IP:port to listen on for other nodes"`
	PeerAddress  string        `long:"peer-address" env:"WALNUTRAMP_PEER_ADDRESS" description:"numeric IP:port at which other nodes reach this one; default is --peer-listen"`
	Peers        []string      `long:"peer" env:"WALNUTRAMP_PEERS" env-delim:"," description:"another node, as name=hall@IP:port; can be repeated"`
	Bundle       string        `long:"bundle" env:"WALNUTRAMP_BUNDLE" description:"bundle file, on sites without a control group"`
	Control      []string      `long:"control" env:"WALNUTRAMP_CONTROL" env-delim:"," description:"name of a control group member; repeat for each of the 1, 3 or 5 members"`
	Data         string        `long:"data" env:"WALNUTRAMP_DATA" description:"data directory, on nodes with a disk; founders' have to be initialized with 'control found'"`
	Operators    string        `long:"operators" env:"WALNUTRAMP_OPERATORS" description:"file with the operators' public keys, one name and key per line"`
	Keys         string        `long:"keys" env:"WALNUTRAMP_KEYS" description:"directory with the site's keys; without it connections between nodes are not authenticated"`
	Platform     string        `long:"platform" env:"WALNUTRAMP_PLATFORM" description:"URL of the platform's instance list, with a numeric address"`
	LoadInterval time.Duration `long:"load-interval" env:"WALNUTRAMP_LOAD_INTERVAL" default:"500ms" description:"minimum interval between load reports of a target"`
	ProbePeriod  time.Duration `long:"probe-period" env:"WALNUTRAMP_PROBE_PERIOD" default:"500ms" description:"interval between membership probes"`
	StopDeadline time.Duration `long:"stop-deadline" env:"WALNUTRAMP_STOP_DEADLINE" default:"10m" description:"how long requests in flight may run after a graceful stop was requested"`
	Check        bool          `long:"check" description:"validate the settings and the bundle, and exit"`
	Limits       clientLimits  `group:"Limits of clients"`
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

// options validates all settings and converts them to node options.
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
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	peers, err := parsePeers(c.Peers)
	if err != nil {
		return nil, err
	}
	bundleOpts, err := c.bundleOptions()
	if err != nil {
		return nil, err
	}
	keyOpts, err := c.keyOptions()
	if err != nil {
		return nil, err
	}
	opts := append(bundleOpts, keyOpts...)
	return append(opts,
		node.WithName(walnutramp.NodeName(c.Name), walnutramp.DataHall(c.Hall)),
		node.WithSite(c.Site),
		node.WithPlatform(c.Platform),
		node.WithPeers(c.PeerAddress, peers),
		node.WithLoadInterval(c.LoadInterval),
		node.WithProbePeriod(c.ProbePeriod),
		node.WithStopDeadline(c.StopDeadline),
		node.WithClientLimits(drain.ClientLimits(c.Limits)),
		node.WithSeed(uint64(time.Now().UnixNano())),
	), nil
}

// bundleOptions returns the options for the source of the bundle: a file or the
// control group.
func (c *nodeCommand) bundleOptions() ([]node.Option, error) {
	if len(c.Control) == 0 {
		if c.Bundle == "" {
			return nil, &settingError{"--bundle", "", "a file with a bundle, unless --control names a control group"}
		}
		b, err := readBundle("--bundle", c.Bundle)
		return []node.Option{node.WithBundle(b)}, err
	}
	if c.Bundle != "" {
		return nil, &settingError{"--bundle", c.Bundle, "no value together with --control, where bundles are submitted"}
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
	opts := []node.Option{node.WithControl(nodeNames(c.Control), operators)}
	if c.Data == "" {
		return opts, nil
	}
	if info, err := os.Stat(c.Data); err != nil || !info.IsDir() {
		return nil, &settingError{"--data", c.Data, "an existing directory"}
	}
	onFatal := consensus.WithOnFatal(func(err error) {
		klog.ErrorS(err, "Disk write failed, exiting")
		klog.Flush()
		os.Exit(exitFailed)
	})
	return append(opts, node.WithDisk(wal.Dir(c.Data)), node.WithControlOptions(onFatal)), nil
}

func nodeNames(values []string) []walnutramp.NodeName {
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
		return nil, &settingError{"--keys", c.Keys, "a directory made by 'walnutramp keys' with this node's keys (" + err.Error() + ")"}
	}
	return []node.Option{node.WithTLS(cfg)}, nil
}

func checkAddress(setting, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &settingError{setting, value, "a numeric IP:port, such as 127.0.0.1:8080"}
	}
	return nil
}

// parsePeers parses values of the form name=hall@IP:port.
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
		return nil, &settingError{setting, file, "a valid bundle:\n" + err.Error()}
	}
	return b, nil
}

// serve runs the node until a signal stops it gracefully; a second signal stops it at
// once.
func (c *nodeCommand) serve(n *node.Node) error {
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may end before this process
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

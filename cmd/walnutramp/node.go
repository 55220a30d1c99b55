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
	"github.com/walnutramp/walnutramp/member"
	"github.com/walnutramp/walnutramp/node"
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
	Bundle       string        `long:"bundle" env:"WALNUTRAMP_BUNDLE" required:"true" description:"file with the bundle"`
	LoadInterval time.Duration `long:"load-interval" env:"WALNUTRAMP_LOAD_INTERVAL" default:"250ms" description:"time between load reports of one target"`
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
	b, err := readBundle("--bundle", c.Bundle)
	if err != nil {
		return nil, err
	}
	return []node.Option{
		node.WithName(walnutramp.NodeName(c.Name), walnutramp.DataHall(c.Hall)),
		node.WithSite(c.Site),
		node.WithPeers(c.PeerAddress, peers),
		node.WithBundle(b),
		node.WithLoadInterval(c.LoadInterval),
		node.WithProbePeriod(c.ProbePeriod),
		node.WithStopDeadline(c.StopDeadline),
		node.WithSeed(uint64(time.Now().UnixNano())),
	}, nil
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

package main

import (
	"flag"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/logsink"
	"github.com/walnutramp/walnutramp/platform"
	"github.com/walnutramp/walnutramp/serve"
	"k8s.io/klog/v2"
)

type serveCommand struct {
	*program
	Config string       `long:"config" env:"WALNUTRAMP_CONFIG" default:"/etc/walnutramp/local.toml" description:"settings file of the platform; reloaded on SIGHUP and when it changes"`
	Policy string       `long:"policy" env:"WALNUTRAMP_POLICY" default:"predicted" choice:"predicted" choice:"least-reported" choice:"round-robin" choice:"random" description:"load balancing policy; all but the default are for comparisons"`
	Source string       `long:"target-source" env:"WALNUTRAMP_TARGET_SOURCE" description:"local IP address of connections to targets; empty for the system's choice"`
	NoLog  bool         `long:"no-log" env:"WALNUTRAMP_NO_LOG" description:"write no log lines, to measure the cost of logging"`
	Check  bool         `long:"check" description:"validate the settings, and exit"`
	Limits clientLimits `group:"Limits of clients"`
}

// settingsPollInterval is the interval between checks of the settings file's
// modification time.
const settingsPollInterval = time.Second

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	adapter := platform.NewAdapter(c.Config)
	settings, err := adapter.Settings()
	if err != nil {
		return &settingError{"--config", c.Config, "a valid settings file (" + err.Error() + ")"}
	}
	settings.Policy = balance.Policy(c.Policy)
	if c.Source != "" && net.ParseIP(c.Source) == nil {
		return &settingError{"--target-source", c.Source, "an IP address"}
	}
	settings.TargetSource = c.Source
	if err := c.Limits.check(); err != nil {
		return err
	}
	settings.ClientLimits = drain.ClientLimits(c.Limits)
	if c.Check {
		return nil
	}
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may end before this process
	sink := logsink.New(os.Stdout)
	setLogOutput(sink)
	if c.NoLog {
		setLogOutput(io.Discard)
	}
	defer sink.Close(logFlushTimeout)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := serve.New(settings, adapter, sink.Dropped)
	if err != nil {
		return err
	}
	c.reloadUntilStopped(p, signals)
	p.Stop()
	return nil
}

// logFlushTimeout limits the wait for buffered log lines when the process exits.
const logFlushTimeout = 200 * time.Millisecond

// setLogOutput redirects all log lines from standard error to w.
func setLogOutput(w io.Writer) {
	var klogFlags flag.FlagSet
	klog.InitFlags(&klogFlags)
	klogFlags.Set("logtostderr", "false")
	klogFlags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(w)
}

// reloadUntilStopped reloads the settings when they change, until the process is
// signalled to stop.
func (c *serveCommand) reloadUntilStopped(p *serve.Process, signals <-chan os.Signal) {
	lastModified := modTime(c.Config)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				klog.InfoS("Signal to stop", "signal", s.String())
				return
			}
			p.Reload()
		case <-ticker.C:
			if now := modTime(c.Config); !now.Equal(lastModified) {
				lastModified = now
				p.Reload()
			}
		}
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

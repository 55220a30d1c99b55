package main

import (
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/logsink"
	"github.com/walnutramp/walnutramp/platform"
	"github.com/walnutramp/walnutramp/serve"
	"k8s.io/klog/v2"
)

type serveCommand struct {
	*program
	Config string `long:"config" env:"WALNUTRAMP_CONFIG" default:"/etc/walnutramp/local.toml" description:"settings file of the platform; it is read again on SIGHUP and when it changes"`
	Policy string `long:"policy" env:"WALNUTRAMP_POLICY" default:"predicted" choice:"predicted" choice:"least-reported" choice:"round-robin" choice:"random" description:"how a target is chosen; all but the default are there to be compared with"`
	NoLog  bool   `long:"no-log" env:"WALNUTRAMP_NO_LOG" description:"write no log lines; there to measure what they cost"`
	Check  bool   `long:"check" description:"check the settings, and end"`
}

// settingsEvery is the time between two looks at the settings file.
const settingsEvery = time.Second

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	adapter := platform.NewAdapter(c.Config)
	settings, err := adapter.Settings()
	if err != nil {
		return &settingError{"--config", c.Config, "a settings file without mistakes (" + err.Error() + ")"}
	}
	settings.Policy = balance.Policy(c.Policy)
	if c.Check {
		return nil
	}
	sink := logsink.New(os.Stdout)
	logTo(sink)
	if c.NoLog {
		logTo(io.Discard)
	}
	defer sink.Close(logFlush)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := serve.New(settings, adapter, sink.Dropped)
	if err != nil {
		return err
	}
	c.wait(p, signals)
	p.Stop()
	return nil
}

// logFlush bounds the wait for the last log lines when the process ends.
const logFlush = 200 * time.Millisecond

// logTo sends every log line to a sink in place of standard error.
func logTo(w io.Writer) {
	var set flag.FlagSet
	klog.InitFlags(&set)
	set.Set("logtostderr", "false")
	set.Set("stderrthreshold", "FATAL")
	klog.SetOutput(w)
}

// wait reloads the settings when they change, until a signal to stop.
func (c *serveCommand) wait(p *serve.Process, signals <-chan os.Signal) {
	changed := modified(c.Config)
	ticker := time.NewTicker(settingsEvery)
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
			if now := modified(c.Config); !now.Equal(changed) {
				changed = now
				p.Reload()
			}
		}
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

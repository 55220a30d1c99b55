package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/standin"
)

// standinCommand groups the stand-ins.
type standinCommand struct {
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Service  serviceCommand  `command:"service" description:"a plain service"`
	Platform platformCommand `command:"platform" description:"the platform's list of instances"`
}

func newStandinCommand(p *program) *standinCommand {
	return &standinCommand{Engine: engineCommand{program: p}, Service: serviceCommand{program: p}, Platform: platformCommand{program: p}}
}

// server is implemented by all stand-ins.
type server interface {
	Serve(l net.Listener) error
	Close()
}

// serveUntilSignal serves on address until the process receives SIGTERM or SIGINT.
func serveUntilSignal(address string, s server) error {
	if err := checkAddress("--listen", address); err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.Close()
	}()
	s.Serve(l)
	return nil
}

type engineCommand struct {
	*program
	Listen      string        `long:"listen" env:"WALNUTRAMP_STANDIN_LISTEN" default:"127.0.0.1:9001" description:"numeric IP:port"`
	Model       string        `long:"model" env:"WALNUTRAMP_STANDIN_MODEL" default:"draft-large" description:"name of the served model"`
	Slots       int           `long:"slots" env:"WALNUTRAMP_STANDIN_SLOTS" default:"16" description:"maximum number of requests decoded concurrently"`
	Interval    time.Duration `long:"interval" env:"WALNUTRAMP_STANDIN_INTERVAL" default:"20ms" description:"time between tokens of a single stream"`
	PrefillRate float64       `long:"prefill-rate" env:"WALNUTRAMP_STANDIN_PREFILL_RATE" default:"8000" description:"prompt tokens per second"`
	Seed        uint64        `long:"seed" env:"WALNUTRAMP_STANDIN_SEED" default:"1" description:"random seed"`
	HoldEvery   int           `long:"hold-every" env:"WALNUTRAMP_STANDIN_HOLD_EVERY" default:"0" description:"delay the text of every n-th token until the next one"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	if c.Slots < 1 {
		return &settingError{"--slots", "below 1", "a whole number of 1 or more"}
	}
	cfg := standin.DefaultEngineConfig()
	cfg.Model = walnutramp.ModelName(c.Model)
	cfg.Slots = c.Slots
	cfg.TokenInterval = c.Interval
	cfg.PrefillRate = c.PrefillRate
	cfg.Seed = c.Seed
	cfg.HoldEvery = c.HoldEvery
	return serveUntilSignal(c.Listen, standin.NewEngine(standin.WithEngineConfig(cfg)))
}

type serviceCommand struct {
	*program
	Listen string        `long:"listen" env:"WALNUTRAMP_STANDIN_LISTEN" default:"127.0.0.1:9101" description:"numeric IP:port"`
	Delay  time.Duration `long:"delay" env:"WALNUTRAMP_STANDIN_DELAY" default:"5ms" description:"delay of each response"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return serveUntilSignal(c.Listen, standin.NewService(standin.ServiceConfig{Delay: c.Delay}))
}

type platformCommand struct {
	*program
	Listen string        `long:"listen" env:"WALNUTRAMP_STANDIN_LISTEN" default:"127.0.0.1:9201" description:"numeric IP:port"`
	Lag    time.Duration `long:"lag" env:"WALNUTRAMP_STANDIN_LAG" default:"2s" description:"age of the returned list"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serveUntilSignal(c.Listen, standin.NewPlatform(c.Lag))
}

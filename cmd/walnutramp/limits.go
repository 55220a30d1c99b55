package main

import (
	"strconv"
	"time"
)

// clientLimits are the flags of a drain.ClientLimits.
type clientLimits struct {
	HeadMemoryMB   int           `long:"head-memory" env:"WALNUTRAMP_HEAD_MEMORY_MB" description:"memory for large request heads, in MiB; 0 for an eighth of the memory limit, 16 at most"`
	BodyMemoryMB   int           `long:"body-memory" env:"WALNUTRAMP_BODY_MEMORY_MB" description:"memory for request bodies at addresses other than that of a platform entry's clients, in MiB; 0 for an eighth of the memory limit"`
	MaxConnections int           `long:"max-connections" env:"WALNUTRAMP_MAX_CONNECTIONS" description:"open connections of clients; 0 for half of the descriptors, or of the memory limit at 24 KiB each if that is fewer"`
	BodyTimeout    time.Duration `long:"body-timeout" env:"WALNUTRAMP_BODY_TIMEOUT" default:"1m" description:"how long the body of a request may take to arrive, if its deadline is not earlier"`
}

func (l *clientLimits) check() error {
	for setting, value := range map[string]int{"--head-memory": l.HeadMemoryMB, "--body-memory": l.BodyMemoryMB, "--max-connections": l.MaxConnections} {
		if value < 0 {
			return &settingError{setting, strconv.Itoa(value), "0 or more"}
		}
	}
	if l.BodyTimeout < time.Second {
		return &settingError{"--body-timeout", l.BodyTimeout.String(), "a duration of 1s or more"}
	}
	return nil
}

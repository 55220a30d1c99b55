//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// plays are the scripts, by name.
var plays = map[string]func(s *site, trouble bool) error{
	"forgotten": playForgotten,
	"lockout":   playLockout,
	"slow":      playSlow,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 PLAY RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// maxPlay ends a play that hangs.
const maxPlay = 110 * time.Second

func run(play, recordFile string, trouble bool) int {
	s, err := newSite(recordFile, "sala-moin", "sala-tortuguero", "sala-parismina")
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return notRun
	}
	defer s.stop()
	done := make(chan error, 1)
	go func() { done <- plays[play](s, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-time.After(maxPlay):
		err = fmt.Errorf("the play did not end within %v", maxPlay)
	case <-signals:
		err = fmt.Errorf("stopped")
	}
	if err != nil {
		s.record.line("CAN'T RUN: %v", err)
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return notRun
	}
	s.servers.mu.Lock()
	defer s.servers.mu.Unlock()
	for _, b := range s.servers.breaks {
		fmt.Println(b)
	}
	if len(s.servers.breaks) > 0 {
		return broken
	}
	fmt.Println("held")
	return held
}

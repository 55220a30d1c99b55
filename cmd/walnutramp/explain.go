package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/explain"
)

type explainCommand struct {
	*program
	Positional struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"id of a request, name of a service for its latest roll-out, token=N for a fencing token, or number of a usage window"`
		Files   []string `positional-arg-name:"FILE" description:"log files of nodes; default is standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	if number, ok := strings.CutPrefix(c.Positional.Request, explain.TokenPrefix); ok {
		return c.explainToken(lines, number)
	}
	request, ok := explain.TraceRequest(lines, c.Positional.Request)
	if ok {
		request.Write(c.out)
		return nil
	}
	rollout, ok := explain.TraceRollout(lines, c.Positional.Request)
	if ok {
		rollout.Write(c.out)
		return nil
	}
	window, ok := explain.TraceWindow(lines, c.Positional.Request)
	if !ok {
		return errors.Newf("no log line names %s as a request, a service with a roll-out or a usage window", c.Positional.Request)
	}
	window.Write(c.out)
	return nil
}

func (c *explainCommand) explainToken(lines []explain.Line, number string) error {
	token, ok := explain.TraceToken(lines, number)
	if !ok {
		return errors.Newf("no log line names token %s", number)
	}
	token.Write(c.out)
	return nil
}

func (c *explainCommand) readLogs() ([]explain.Line, error) {
	if len(c.Positional.Files) == 0 {
		return explain.Read(os.Stdin, "standard input")
	}
	var all []explain.Line
	for _, name := range c.Positional.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := explain.Read(f, filepath.Base(name))
		f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

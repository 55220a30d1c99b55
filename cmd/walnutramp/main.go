// Command walnutramp is the whole system in one binary: entry node, stand-ins
// of the systems around it, the demo, the load tool and the operators' tools.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/walnutramp/walnutramp/internal/build"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitSetting = 2
)

// settingError is a setting with a value that is not allowed.
type settingError struct {
	setting string
	value   string
	allowed string
}

// Error implements the error interface.
func (e *settingError) Error() string {
	return fmt.Sprintf("setting %s: value %q is not allowed; allowed is %s", e.setting, e.value, e.allowed)
}

// program is what commands write to.
type program struct {
	out io.Writer
	err io.Writer
}

// globalOptions apply to every command.
type globalOptions struct {
	Verbosity int `long:"verbosity" env:"WALNUTRAMP_VERBOSITY" default:"0" description:"log verbosity: 0 says what operators need, 1 adds each decision, 2 everything"`
}

func main() {
	p := &program{out: os.Stdout, err: os.Stderr}
	code := p.run(os.Args[1:])
	klog.Flush()
	os.Exit(code)
}

// run parses the command line, runs the command and returns the exit code.
func (p *program) run(args []string) int {
	var global globalOptions
	parser := flags.NewNamedParser("walnutramp", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", &global); err != nil {
		return p.fail(err)
	}
	if err := p.addCommands(parser); err != nil {
		return p.fail(err)
	}
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if err := setVerbosity(global.Verbosity); err != nil {
			return err
		}
		if command == nil {
			return nil
		}
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	return p.fail(err)
}

func setVerbosity(v int) error {
	if v < 0 || v > 9 {
		return &settingError{"--verbosity", fmt.Sprint(v), "a whole number from 0 to 9"}
	}
	var level klog.Level
	return level.Set(fmt.Sprint(v))
}

// fail prints err, if there is one, and returns the exit code it stands for.
func (p *program) fail(err error) int {
	if err == nil {
		return exitOK
	}
	var setting *settingError
	var parse *flags.Error
	switch {
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		fmt.Fprintln(p.out, parse.Message)
		return exitOK
	case errors.As(err, &parse), errors.As(err, &setting):
		fmt.Fprintln(p.err, "walnutramp:", err)
		return exitSetting
	}
	fmt.Fprintln(p.err, "walnutramp:", err)
	return exitFailed
}

func (p *program) addCommands(parser *flags.Parser) error {
	commands := []struct {
		name, short string
		data        any
	}{
		{"node", "Run an entry node", &nodeCommand{program: p}},
		{"serve", "Serve a site on the shared platform, as its settings file says", &serveCommand{program: p}},
		{"explain", "Tell from nodes' logs what became of a request, and why", &explainCommand{program: p}},
		{"demo", "Show a draft that survives its engine and its entry node", &demoCommand{program: p}},
		{"load", "Drive a site, check every answer and report what callers saw", newLoadCommand(p)},
		{"experiment", "Play policies in virtual time and count what they got wrong", newExperimentCommand(p)},
		{"rollout", "Order a roll-out at a member of the control group, and watch it", newRolloutCommand(p)},
		{"standin", "Run a stand-in of a system around the node", newStandinCommand(p)},
		{"bundle", "Check, compare, sign, submit and show bundles", newBundleCommand(p)},
		{"control", "Set up the control group's disks", newControlCommand(p)},
		{"keys", "Make a site's keys", &keysCommand{program: p}},
		{"report", "Show how fast objectives burn what they may fail", &reportCommand{program: p}},
		{"version", "Print the version", &versionCommand{program: p}},
	}
	for _, c := range commands {
		added, err := parser.AddCommand(c.name, c.short, "", c.data)
		if err != nil {
			return err
		}
		_, added.SubcommandsOptional = c.data.(flags.Commander)
	}
	return nil
}

type versionCommand struct {
	*program
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Fprintf(c.out, "walnutramp %s (%s)\n", build.Name(), goVersion)
	return nil
}

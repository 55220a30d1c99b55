// Command walnutramp contains the entry node, the site server, stand-ins for external
// systems, a demo, the load generator and the operators' tools.
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

// settingError reports an invalid value of a setting.
type settingError struct {
	setting string
	value   string
	allowed string
}

// Error implements the error interface.
func (e *settingError) Error() string {
	return fmt.Sprintf("setting %s: value %q is not allowed; allowed is %s", e.setting, e.value, e.allowed)
}

// program holds the output streams of the commands.
type program struct {
	out io.Writer
	err io.Writer
}

// globalOptions apply to every command.
type globalOptions struct {
	Verbosity int `long:"verbosity" env:"WALNUTRAMP_VERBOSITY" default:"0" description:"log verbosity: 0 for operational messages, 1 adds each decision, 2 logs everything"`
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

// setVerbosity accepts all levels of klog, which go beyond those in use.
func setVerbosity(v int) error {
	if v < 0 || v > 9 {
		return &settingError{"--verbosity", fmt.Sprint(v), "a whole number from 0 to 9"}
	}
	var level klog.Level
	return level.Set(fmt.Sprint(v))
}

// fail prints err, if not nil, and returns the corresponding exit code.
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
		{"serve", "Run the server process of a site on the shared platform", &serveCommand{program: p}},
		{"explain", "Explain the result of a request from nodes' logs", &explainCommand{program: p}},
		{"demo", "Show drafts that survive the crash of an engine and of an entry node", &demoCommand{program: p}},
		{"load", "Generate load on a site, check all responses and report the results", newLoadCommand(p)},
		{"experiment", "Simulate policies in virtual time and count their errors", newExperimentCommand(p)},
		{"rollout", "Start and watch roll-outs of service versions", newRolloutCommand(p)},
		{"standin", "Run a stand-in for an external system", newStandinCommand(p)},
		{"bundle", "Validate, compare, sign, submit and list bundles", newBundleCommand(p)},
		{"control", "Initialize data directories of the control group", newControlCommand(p)},
		{"keys", "Generate the keys of a site", &keysCommand{program: p}},
		{"report", "Show the error budget burn rates of the objectives", &reportCommand{program: p}},
		{"version", "Print the version", &versionCommand{program: p}},
	}
	for _, c := range commands {
		added, err := parser.AddCommand(c.name, c.short, "", c.data)
		if err != nil {
			return err
		}
		// A command that can run by itself needs no subcommand.
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

package main

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCommandLine runs the cases in testdata/settings.txt: the arguments after each
// "$", then the expected exit code and output.
func TestCommandLine(t *testing.T) {
	content, err := os.ReadFile("testdata/settings.txt")
	require.NoError(t, err)
	cases := strings.Split(string(content), "\n$ ")
	require.Greater(t, len(cases), 5)
	for _, c := range cases[1:] {
		args, want, _ := strings.Cut(c, "\n")
		t.Run(args, func(t *testing.T) {
			var out bytes.Buffer
			p := &program{out: &out, err: &out}
			code := p.run(strings.Fields(args))
			got := strings.TrimSpace(out.String())
			// Exit codes have one digit.
			exit, text, _ := strings.Cut(strings.TrimSpace(want), "\n")
			require.Equal(t, exit, "exit "+string(rune('0'+code)), got)
			require.Equal(t, strings.TrimSpace(text), got)
		})
	}
}

// TestDemoCompletesAllDrafts guards against lost drafts, and missing, repeated or
// out-of-place tokens, in the demo.
func TestDemoCompletesAllDrafts(t *testing.T) {
	var out bytes.Buffer
	p := &program{out: &out, err: &out}
	require.Equal(t, exitOK, p.run([]string{"demo", "--json"}), out.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var r demoResult
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &r))
	require.Equal(t, r.Drafts, r.Complete)
	// The demo has two phases of demoDrafts drafts.
	require.Equal(t, 2*demoDrafts*demoTokens, r.Tokens)
	require.Zero(t, r.Missing+r.Repeated+r.Mixed)
	require.Positive(t, r.Reconnects)
}

// TestDemoReportsIncompleteResults checks that check fails for each kind of incomplete
// result.
func TestDemoReportsIncompleteResults(t *testing.T) {
	good := demoResult{Drafts: 1, Complete: 1, LookupsAnswered: 1}
	require.NoError(t, good.check())
	for _, bad := range []demoResult{
		{Drafts: 2, Complete: 1, LookupsAnswered: 1},
		{Drafts: 1, Complete: 1, LookupsAnswered: 1, Missing: 1},
		{Drafts: 1, Complete: 1, LookupsAnswered: 1, Repeated: 1},
		{Drafts: 1, Complete: 1, LookupsAnswered: 1, Mixed: 1},
		{Drafts: 1, Complete: 1},
	} {
		require.Error(t, bad.check())
	}
}

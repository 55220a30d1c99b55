//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(*record, string, string, bool) (int, error){"memory": memoryCase, "route": routeCase, "twice": twiceCase, "handle": handleCase, "moved": movedCase, "refused": refusedCase, "renamed": renamedCase, "reborn": rebornCase, "giveup": giveUpCase, "lost": lostCase}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		os.Exit(notRun)
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := &record{w: out, start: time.Now()}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	time.AfterFunc(115*time.Second, func() {
		rec.add("took too long")
		os.Exit(notRun) // Pdeathsig ends the processes
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("disruption: %v", trouble)
	code, err := cases[os.Args[1]](rec, folder, os.Args[3], trouble)
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		code = notRun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.CopyFS(keep, os.DirFS(folder))
	}
	os.RemoveAll(folder)
	rec.add("exit %d", code)
	out.Close()
	os.Exit(code)
}

// Command reviewstandin plays one case of the review: it starts stand-ins of the store, of workers
// and of clients on loopback, and the project's hosts as processes, injects the case's disruption,
// and checks one rule by what clients and workers have seen.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that play them. A function returns an error if
// the case could not be played.
var cases = map[string]func(w *world) error{
	"budget":    budget,
	"stall":     stall,
	"reclaim":   reclaim,
	"failed":    failedOnce,
	"starve":    starve,
	"shape":     shape,
	"cancelled": cancelled,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: *root, program: filepath.Join(*root, "target/agatewinch-host"), began: time.Now(),
		client: &http.Client{}, record: record, jobs: map[string]*jobSpec{},
	}
	defer w.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.stop()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	if err := play(w); err != nil {
		w.logf("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(w.violations) > 0 {
		w.logf("RESULT broken")
		fmt.Println(w.violations[0])
		return exitBroken
	}
	if w.hostEnded {
		w.logf("RESULT not run: a host has ended by itself")
		return exitNotRun
	}
	w.logf("RESULT held")
	return exitHeld
}

//go:build review

// Command stand runs the scripts of the review's cases: it starts the program of the deploy file as separate processes, beside
// stand-ins of the store, the runners, the clients and the platform. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func() verdict{
	"waiting":         waiting,
	"unframed-stream": unframedStream,
	"unframed-body":   unframedBody,
	"stale":           stale,
	"versions":        versions,
	"path":            path,
	// These are no cases of the review, see REPORT.md.
	"crash":    crash,
	"unlisted": unlisted,
	"encoded":  encoded,
	"taken-up": takenUp,
}

func main() {
	directory := flag.String("dir", "", "the folder of the record")
	flag.Parse()
	run, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(int(couldNotRun))
	}
	if *directory != "" {
		file, err := os.Create(filepath.Join(*directory, "record.txt"))
		must(err)
		recordFile = file
	}
	note("with the disruption: %v", disrupted())
	outcome := run()
	note("%s", map[verdict]string{ruleHeld: "the rule held", ruleBroken: "the rule was broken", couldNotRun: "the case could not run"}[outcome])
	if os.Getenv("LOGS") != "" {
		for _, b := range everyBed {
			_ = os.CopyFS(os.Getenv("LOGS"), os.DirFS(b.directory))
		}
	}
	cleanUp()
	os.Exit(int(outcome))
}

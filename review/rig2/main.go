// Command rig2 plays the scripted cases of the second review against the project's own programs.
package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxCase = 115 * time.Second
)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(f *fleet) (int, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(notRun)
	}
	play, file := cases[os.Args[1]], os.Args[2]
	out, err := os.Create(file)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(notRun)
	}
	rec := &record{f: out, start: time.Now()}
	f, err := newFleet(rec, os.Getenv("TROUBLE") != "0", 0)
	if err != nil {
		rec.say("not run: %v", err)
		os.Exit(notRun)
	}
	time.AfterFunc(maxCase, func() {
		rec.say("not run: the case takes too long")
		f.end()
		os.Exit(notRun)
	})
	result, err := play(f)
	if err != nil {
		rec.say("not run: %v", err)
		result = notRun
	}
	f.end()
	rec.say("result %d", result)
	os.Exit(result)
}

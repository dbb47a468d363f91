// Command review-stand-2 plays the scripts of the second review: it starts the daemon as separate processes beside
// stand-ins for the platform's store, the servers and the clients, and checks one rule each.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

func main() {
	daemonPath := flag.String("daemon", "target/caraway-entry", "the daemon's program")
	record := flag.String("record", "record.txt", "file that says what was sent, answered and run")
	flag.Parse()
	scripts := map[string]script{"drain": {drainInstances, playDrain}, "gone": {goneInstances, playGone}, "handle": {handleInstances, playHandle}, "ids": {idsInstances, playIDs}}
	s, ok := scripts[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 [--daemon FILE] [--record FILE] drain|gone|handle|ids")
		os.Exit(exitNoRun)
	}
	os.Exit(run(s, *daemonPath, *record))
}

// script is a script and how many instances it has.
type script struct {
	instances int
	play      func(*stage) (verdict, error)
}

// run plays a script and returns its exit code.
func run(s script, daemonPath, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer out.Close()
	st, err := newStage(daemonPath, s.instances, out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	v, err := s.play(st)
	st.close()
	if err != nil {
		st.printf("could not run: %v\n", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	st.printf("%s\n", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// verdict says whether the rule was broken.
type verdict struct {
	broken bool
	text   string
}

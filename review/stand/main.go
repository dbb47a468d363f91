// Command stand plays the cases of the review: it starts the daemon as separate processes on loopback, with
// stand-ins for the platform's store, servers and clients, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are what can be played, by name: those of the scripts review/1 to review/5, and others.
var cases = map[string]func(*bench) error{
	"health":      lateHealthAnswer,
	"events":      longEventsOfStreams,
	"descriptors": burstOfUsers,
	"grace":       shorterGracePeriod,
	"guidelines":  editedGuidelines,

	"bodies":   photographs,
	"late":     lateStreams,
	"relayed":  relayedRequests,
	"replaced": replaceMachines,
	"unframed": unframedStream,
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, repository, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand: no case %q\n", name)
		return notRun
	}
	b, err := newBench(repository, filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return notRun
	}
	go func() {
		interrupt := make(chan os.Signal, 1)
		signal.Notify(interrupt, os.Interrupt, syscall.SIGTERM)
		select {
		case <-interrupt:
		case <-time.After(longest):
		}
		b.abort()
		fmt.Fprintln(os.Stderr, "stand: the case was interrupted")
		os.Exit(notRun)
	}()
	err = run(b)
	violations := b.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "stand: the case could not run:", err)
		return notRun
	case violations > 0:
		fmt.Println("broken")
		return broken
	}
	fmt.Println("held")
	return held
}

// Command harness plays the scripts of the review: real entries as processes of their own, with stand-ins of the
// platform's store, of engines and of clients, all on loopback addresses.
//
//	harness engine ID ADDRESS          an engine, started by the others
//	harness CASE QUAYDOCK RECORD       plays a case with the given program, and writes a record
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// mostTime is how long a play may take.
const mostTime = 118 * time.Second

// Exit codes.
const (
	held = iota
	broken
	notRun
)

// cases are the cases by name.
var cases = map[string]func(*play) (int, error){
	"drill":   playDrill,
	"early":   playEarly,
	"garbage": playGarbage,
	"reborn":  playReborn,
}

// play is one play of a case.
type play struct {
	*deployment
	record  *record
	trouble bool
	servers []*server
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 3 && (args[0] == modeEarly || args[0] == modeLate) {
		return runWindowEngine(args[1], args[2], args[0] == modeEarly)
	}
	if len(args) == 3 && args[0] == "engine" {
		return runEngine(args[1], args[2])
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE QUAYDOCK RECORD")
		return notRun
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	d, err := newDeployment(r, dir, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	p := &play{deployment: d, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	var once sync.Once
	end := func() { once.Do(p.end) }
	defer end()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		select {
		case <-stop:
		case <-time.After(mostTime):
		}
		end()
		os.Exit(notRun)
	}()
	code, err := cases[args[0]](p)
	if err != nil {
		r.say("not run: %v", err)
		return notRun
	}
	return code
}

// end ends all processes.
func (p *play) end() {
	p.close()
	for _, s := range p.servers {
		s.kill()
	}
}

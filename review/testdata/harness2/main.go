// Command harness2 plays the scripted cases of the second review: real entries as separate processes on loopback addresses, with
// stand-ins of clients, engines and the platform's store. It exits with 1 if the rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the functions that play one case each. They return how often the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (int, error){
	"late":    late,
	"revoked": revoked,
	"window":  window,
	"surplus": surplus,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit status.
func play(run func(b *bed, trouble bool) (int, error), path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	b, err := newBed(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stops
		b.close()
		os.Exit(2)
	}()
	broken, err := run(b, trouble)
	r.log("trouble %t: broken %d times, error %v", trouble, broken, err)
	fmt.Printf("trouble %t: the rule was broken %d times\n", trouble, broken)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

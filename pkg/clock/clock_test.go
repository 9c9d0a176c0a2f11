package clock_test

import (
	"fmt"
	"time"

	"quaydock/pkg/clock"
)

func ExampleMillis_Duration() {
	fmt.Println((2 * clock.Second).Duration())
	// Output: 2s
}

func ExampleFromDuration() {
	fmt.Println(clock.FromDuration(1500 * time.Microsecond))
	// Output: 1
}

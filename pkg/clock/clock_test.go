package clock_test

import (
	"fmt"

	"quaydock/pkg/clock"
)

func ExampleMillis_Duration() {
	fmt.Println((2 * clock.Second).Duration())
	// Output: 2s
}

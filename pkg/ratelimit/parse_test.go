package ratelimit_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/ratelimit"
)

func ExampleParse() {
	fmt.Println(ratelimit.Parse([]string{"2.5"}).Rate)
	// Output: 2.5
}

func TestParse(t *testing.T) {
	none := ratelimit.ParsedLimit{}
	unreadable := ratelimit.ParsedLimit{Given: true}
	of := func(r ratelimit.Rate) ratelimit.ParsedLimit {
		return ratelimit.ParsedLimit{Given: true, Readable: true, Rate: r}
	}
	scenarios := []struct {
		name   string
		values []string
		want   ratelimit.ParsedLimit
	}{
		{"absent", nil, none},
		{"decimal", []string{"2.5"}, of(2.5)},
		{"whole", []string{"8"}, of(8)},
		{"spaces around it", []string{"  1.4\t"}, of(1.4)},
		{"zero", []string{"0"}, of(0)},
		{"negative", []string{"-3"}, of(0)},
		{"negative beyond the range of float64", []string{"-1e999"}, of(0)},
		{"exponent", []string{"1e3"}, of(1000)},
		{"very small", []string{"1e-300"}, of(1e-300)},
		{"below the smallest float64", []string{"1e-999"}, of(0)},
		{"very large", []string{"1e300"}, of(1e300)},
		{"beyond the range of float64", []string{"1e999"}, of(ratelimit.Unlimited)},
		{"a list", []string{"5, 3"}, of(3)},
		{"two values", []string{"2", "7"}, of(2)},
		{"two values, one of them text", []string{"soon", "7"}, of(7)},
		{"infinite", []string{"Inf"}, unreadable},
		{"infinity", []string{"+Infinity"}, unreadable},
		{"not a number", []string{"NaN"}, unreadable},
		{"text", []string{"few"}, unreadable},
		{"empty", []string{""}, unreadable},
		{"a sign", []string{"-"}, unreadable},
		{"a dot", []string{"."}, unreadable},
		{"hexadecimal", []string{"0x1p-2"}, unreadable},
		{"with a unit", []string{"5/s"}, unreadable},
	}
	for _, s := range scenarios {
		if got := ratelimit.Parse(s.values); got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
	}
}

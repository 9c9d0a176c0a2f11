package routing_test

import (
	"fmt"

	"quaydock/pkg/routing"
)

// The route with the longest prefix of the path is taken.
func ExampleCatalog_Route() {
	split := []routing.WeightedService{{Service: "engines", Weight: 1}}
	c := routing.NewCatalog(1, routing.Limits{}, []*routing.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Split: split},
		{Name: "notices", Host: "a.example", Prefix: "/notices/", Split: split},
	}, nil, routing.Accounts{Open: true})
	fmt.Println(c.Route("a.example", "/notices/7").Name, c.Route("a.example", "/else").Name, c.Route("b.example", "/") == nil)
	// Output: notices all true
}

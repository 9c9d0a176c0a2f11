package quota_test

import (
	"fmt"

	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
)

// An account may run 100 units a second, and 100 at once; a new bucket is
// nearly empty, and one request may leave a debt.
func ExampleAllowance() {
	account := &routing.Account{Name: "acme", PerSecond: 100, Burst: 100, CountsTokens: true}
	a := quota.NewAllowance()
	taken, _ := a.Take(0, account, quota.Spending{Share: 1, Units: 10, Debt: 10})
	fmt.Println(taken)
	taken, comeBack := a.Take(0, account, quota.Spending{Share: 1, Units: 10, Debt: 10})
	fmt.Println(taken, comeBack)
	// Output:
	// true
	// false 50
}

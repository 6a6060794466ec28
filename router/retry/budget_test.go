package retry_test

import (
	"fmt"

	"gooseberrypin.example/router/retry"
)

func ExampleBudget() {
	b := retry.NewBudget(0.5, retry.WithBurst(1))
	fmt.Println(b.Allow(), b.Allow())
	b.RecordFirstTry()
	fmt.Println(b.Allow())
	b.RecordFirstTry()
	fmt.Println(b.Allow())
	// Output:
	// true false
	// false
	// true
}

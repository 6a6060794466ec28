package label_test

import (
	"fmt"

	"gooseberrypin.example/router/label"
)

func ExampleParse() {
	selector, err := label.Parse("model=care,role in (prefill,decode),!spare")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(selector.Matches(label.Labels{"model": "care", "role": "decode"}))
	fmt.Println(selector.Unmet(label.Labels{"model": "care", "spare": "yes"}))
	// Output:
	// true
	// [role in (prefill,decode) !spare]
}

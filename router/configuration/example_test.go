package configuration_test

import (
	"fmt"

	"gooseberrypin.example/router/configuration"
)

func ExampleRead() {
	_, faults := configuration.Read([]byte(`{
		"revision": 4,
		"pools": [{"name": "care", "role": "decode", "selector": "model like care"}],
		"rules": [{"name": "care", "model": "care", "prefill_pool": "none", "decode_pool": "care"}]
	}`))
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output:
	// pools[0].selector: selector: "model like care" has no known operator
	// rules[0].prefill_pool: no pool "none"
}

func ExampleBuild() {
	manifest, parts := configuration.Split(&configuration.Configuration{
		Revision: 4,
		Pools:    []configuration.Pool{{Name: "care", Role: configuration.RoleDecode, Selector: "model=care"}},
	})
	snapshot, faults := configuration.Build(manifest, parts)
	fmt.Println(len(faults), snapshot.Revision, snapshot.Index.Pool("care").Selector)
	// Output: 0 4 model=care
}

package configuration_test

import (
	"encoding/json"
	"testing"

	"gooseberrypin.example/router/configuration"
)

// FuzzRead checks that a configuration which is read without faults survives splitting.
func FuzzRead(f *testing.F) {
	seed, err := json.Marshal(small())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"revision":1,"pools":[{"name":"a","role":"decode","selector":"a"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		c, faults := configuration.Read(content)
		if len(faults) > 0 {
			return
		}
		manifest, parts := configuration.Split(c)
		if _, faults := configuration.Build(manifest, parts); len(faults) > 0 {
			t.Fatalf("valid as a whole, but split: %v", faults)
		}
	})
}

// FuzzBuild checks that no manifest and part make Build panic, and that it decides alike twice.
func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"revision":1,"parts":[]}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, manifest, part []byte) {
		parts := map[string][]byte{configuration.Digest(part): part}
		_, first := configuration.Build(manifest, parts)
		_, second := configuration.Build(manifest, parts)
		if texts(first) != texts(second) {
			t.Fatalf("faults %q and then %q", texts(first), texts(second))
		}
	})
}

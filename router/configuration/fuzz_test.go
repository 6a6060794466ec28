package configuration_test

import (
	"encoding/json"
	"testing"

	"gooseberrypin.example/router/configuration"
)

// FuzzRead checks that each configuration that Read accepts is also valid after Split and Build.
func FuzzRead(f *testing.F) {
	seed, err := json.Marshal(smallConfiguration())
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
			t.Fatalf("valid configuration has faults after splitting: %v", faults)
		}
	})
}

// FuzzBuild checks that Build does not panic and returns the same faults for the same content.
func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"revision":1,"parts":[]}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, manifest, part []byte) {
		parts := map[string][]byte{configuration.Digest(part): part}
		_, first := configuration.Build(manifest, parts)
		_, second := configuration.Build(manifest, parts)
		if faultTexts(first) != faultTexts(second) {
			t.Fatalf("first build has faults %q, second %q", faultTexts(first), faultTexts(second))
		}
	})
}

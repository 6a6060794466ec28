package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func TestBaseConfigurationIsValid(t *testing.T) {
	is := is.New(t)
	f, err := New(Layout{Entries: 2, Prefill: 2, Decode: 2, Services: 2}, t.TempDir(), "")
	is.NoErr(err)
	defer f.Close()
	is.Equal(len(f.Configuration().Check()), 0) // the configuration has no faults
	is.Equal(len(f.Configuration().Upstreams), 6)
	is.Equal(len(f.vms.VMs), 8)
}

package fleet

import (
	"net/http"
)

// ServiceMode makes a plain service answer, drop connections after a run, or hang.
func (f *Fleet) ServiceMode(service, mode string) error {
	address, err := f.UpstreamAddress(service)
	if err != nil {
		return err
	}
	_, err = exchange(http.MethodPost, address, "/admin/"+mode, nil)
	return err
}

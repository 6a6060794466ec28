package fleet

import (
	"net/http"
)

// ServiceMode sets the mode of a service stand-in: answer, drop connections after a run, or hang.
func (f *Fleet) ServiceMode(service, mode string) error {
	address, err := f.UpstreamAddress(service)
	if err != nil {
		return err
	}
	_, err = doRequest(http.MethodPost, address, "/admin/"+mode, nil)
	return err
}

package fleet

import (
	"net/http"
)

// SetServiceMode sets the mode of a service stand-in: answer, drop connections after a run, or hang.
func (f *Fleet) SetServiceMode(service, mode string) error {
	address, err := f.UpstreamAddress(service)
	if err != nil {
		return err
	}
	_, err = doRequest(http.MethodPost, address, "/admin/"+mode, nil)
	return err
}

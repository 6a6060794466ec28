package response

import (
	"net/http"

	"github.com/rotisserie/eris"
)

var (
	errStatus   = eris.New("invalid status")
	errProtocol = eris.New("protocol was switched although no request asked for it")
)

// CheckHead returns an error for a response head that http.ReadResponse accepts although no valid response has it. Such a head says
// nothing of the request, and what follows it is no response either.
func CheckHead(a *http.Response) error {
	switch {
	case a.StatusCode < http.StatusContinue:
		return eris.Wrapf(errStatus, "%q", a.Status)
	case a.StatusCode == http.StatusSwitchingProtocols:
		return errProtocol
	}
	return nil
}

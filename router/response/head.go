package response

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// States of a headScanner.
const (
	scanNothing scanState = iota
	scanProtocol
	scanStatus
	scanStartLine
	scanLineStart
	scanName
	scanValue

	// tokenMarks are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
	tokenMarks = "!#$%&'*+-.^_`|~"
)

var (
	errStatus    = eris.New("invalid status")
	errProtocol  = eris.New("protocol was switched although no request asked for it")
	errFieldName = eris.New("invalid name of a header field")
)

type (
	// scanState is the part of a head that the next byte belongs to.
	scanState int

	// headScanner reads the bytes of a response up to the end of its final head and checks the names of all fields. http.ReadResponse
	// accepts names with spaces as those of other fields, so that the length that "Content-Length :" states is not applied to the
	// body. It appends a line that begins with a space to the value before it, as line folding was once allowed; RFC 9112, section
	// 5.2, lets a gateway refuse such a response.
	headScanner struct {
		state scanState
		// interim is whether the head is that of a 1xx response, which another head follows.
		interim bool
		err     error
	}
)

// scan reads the next bytes.
func (s *headScanner) scan(p []byte) {
	for i := 0; i < len(p) && s.state != scanNothing; i++ {
		s.next(p[i])
	}
}

// next reads a byte. It leaves what http.ReadResponse refuses to that function.
func (s *headScanner) next(c byte) {
	switch {
	case s.state == scanLineStart && c == '\r':
	case s.state == scanLineStart && c == '\n' && s.interim:
		s.state = scanProtocol
	case s.state == scanLineStart && c == '\n':
		s.state = scanNothing
	case s.state == scanName && c == ':':
		s.state = scanValue
	case s.state == scanLineStart || s.state == scanName:
		s.state = scanName
		if !isTokenByte(c) {
			s.state, s.err = scanNothing, eris.Wrapf(errFieldName, "byte %q", c)
		}
	case c == '\n':
		s.state = scanLineStart
	case s.state == scanProtocol && c == ' ':
		s.state = scanStatus
	case s.state == scanStatus && c != ' ':
		s.state, s.interim = scanStartLine, c == '1'
	}
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte(tokenMarks, c) >= 0
}

// checkStatus returns an error for a status that http.ReadResponse accepts although no response to a request of this repository has
// it. What follows such a head is no response either.
func checkStatus(a *http.Response) error {
	switch {
	case a.StatusCode < http.StatusContinue:
		return eris.Wrapf(errStatus, "%q", a.Status)
	case a.StatusCode == http.StatusSwitchingProtocols:
		return errProtocol
	}
	return nil
}

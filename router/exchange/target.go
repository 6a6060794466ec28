package exchange

import (
	"io"
	"net/http"
	"strings"
)

type (
	// omitByte passes on what is written, without the byte at an offset.
	omitByte struct {
		io.Writer
		// offset is that of the byte from what is written next; negative once it was omitted.
		offset int
	}
)

// writeRequest writes a request with HTTP.URL.Opaque as its target byte for byte. net/http puts the URL's scheme and a
// colon in front of a target that begins with two slashes, as it takes it for a host. Here the scheme is empty, so there is
// a colon to omit.
func writeRequest(w io.Writer, r *http.Request) error {
	if strings.HasPrefix(r.URL.Opaque, "//") {
		w = &omitByte{Writer: w, offset: len(r.Method) + len(" ")}
	}
	return r.Write(w)
}

// Write implements io.Writer.
func (o *omitByte) Write(p []byte) (int, error) {
	if o.offset < 0 {
		return o.Writer.Write(p)
	}
	if o.offset >= len(p) {
		n, err := o.Writer.Write(p)
		o.offset -= n
		return n, err
	}
	rest := append(p[:o.offset:o.offset], p[o.offset+1:]...)
	o.offset = -1
	if n, err := o.Writer.Write(rest); err != nil {
		return n, err
	}
	return len(p), nil
}

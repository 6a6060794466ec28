package response_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/response"
)

type (
	// failedConn is a connection whose failure was reported to a write.
	failedConn struct {
		net.Conn
		writeErr error
	}
)

const (
	// longUploadBytes is more than the socket buffers take.
	longUploadBytes = 8 << 20
)

// Guards against an end of stream in place of the failure of the connection, which the kernel reports to the write alone.
func TestReadReturnsFailureOfConcurrentWrite(t *testing.T) {
	const part = "part of an answer"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	tests := map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset": {reset, false},
		"reset after the part was read": {func(c *net.TCPConn) {
			time.Sleep(2 * time.Millisecond)
			reset(c)
		}, false},
		"end of the stream, the peer reads on": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		"end of the stream, then a reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			reset(c)
		}, true},
		"end of the stream, then a reset while writes go on": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			reset(c)
		}, true},
		"end of the stream, the peer never reads": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				is := is.New(t)
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				go func() {
					peer, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = peer.Close() }()
					_, _ = io.ReadFull(peer, make([]byte, 1<<10))
					_, _ = io.WriteString(peer, part)
					tt.end(peer.(*net.TCPConn))
				}()
				raw, err := net.Dial("tcp4", l.Addr().String())
				is.NoErr(err)
				c := response.NewConn(raw)
				written := make(chan error, 1)
				go func() {
					_, err := c.Write(make([]byte, longUploadBytes))
					written <- err
				}()
				got, err := io.ReadAll(c)
				if (err == nil) != tt.whole {
					t.Errorf("read %d of %d bytes with error %v, write error %v", len(got), len(part), err, <-written)
				}
				if tt.whole {
					is.Equal(string(got), part)
				} else {
					is.True(errors.Is(err, syscall.ECONNRESET))
				}
				is.NoErr(c.Close())
				is.NoErr(l.Close())
			}
		})
	}
}

func (c failedConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c failedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c failedConn) SetWriteDeadline(time.Time) error { return nil }

func TestEndOfStreamAfterWriteError(t *testing.T) {
	tests := map[string]struct {
		writeErr error
		whole    bool
	}{
		"reset by the peer":                  {syscall.ECONNRESET, false},
		"peer that acknowledges nothing":     {syscall.ETIMEDOUT, false},
		"reset after the end of the stream":  {syscall.EPIPE, true},
		"interrupted at the end of a stream": {os.ErrDeadlineExceeded, true},
		"closed here":                        {net.ErrClosed, true},
		"no error of a write":                {nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var writeErr error
			if tt.writeErr != nil {
				writeErr = &net.OpError{Op: "write", Err: tt.writeErr}
			}
			c := response.NewConn(failedConn{writeErr: writeErr})
			_, err := c.Write([]byte("upload"))
			is.True(errors.Is(err, tt.writeErr))
			for range 2 {
				_, err = c.Read(make([]byte, 1))
				is.Equal(errors.Is(err, io.EOF), tt.whole)
				is.True(tt.whole || errors.Is(err, tt.writeErr))
			}
		})
	}
}

package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/exchange"
)

const (
	// senderVariable holds the address to which a child process sends a request.
	senderVariable = "EXCHANGE_TEST_PEER"
	// heldBytes is the length of a body that the kernel takes from the sender and does not deliver while the peer does
	// not read.
	heldBytes = 64 << 10
	// endlessBytes is more than the send buffer of a connection holds.
	endlessBytes = 32 << 20
	// smallWindowBytes is the receive buffer of a peer that takes only the beginning of a request.
	smallWindowBytes = 4 << 10
)

func TestMain(m *testing.M) {
	if address := os.Getenv(senderVariable); address != "" {
		sendUntilStopped(address)
		return
	}
	os.Exit(m.Run())
}

// sendUntilStopped sends a request and ends the process when standard input is closed.
func sendUntilStopped(address string) {
	go exchange.NewClient().Do(context.Background(), post(address, heldBytes))
	// The read ends with the input; its outcome does not matter.
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// post returns a request with a body of the given length.
func post(address string, length int) exchange.Request {
	r := get(address, "")
	r.HTTP.Method = http.MethodPost
	r.HTTP.ContentLength = int64(length)
	r.HTTP.Body = io.NopCloser(bytes.NewReader(make([]byte, length)))
	return r
}

// acceptWithSmallWindow returns the address of a peer and a channel with the connections that it accepts. Their receive
// window closes after a few kilobytes, as the peer does not read.
func acceptWithSmallWindow(t *testing.T) (string, <-chan *net.TCPConn) {
	setBuffer := func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindowBytes)
		})
		return errors.Join(err, failed)
	}
	l, err := (&net.ListenConfig{Control: setBuffer}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*net.TCPConn)
		}
	}()
	return l.Addr().String(), accepted
}

// readAfterwards reads what still arrives at a peer, until the connection ends. It fails the test unless the end is a reset.
func readAfterwards(t *testing.T, c *net.TCPConn) []byte {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after %d bytes the connection ended with %v, want a reset", len(received), err)
	}
	return received
}

// Guards against the late delivery of an abandoned request: the kernel holds its bytes, as the peer's receive window is
// closed, and would send them once the peer reads, long after the caller has received an error.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	const partialResponse = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
	tests := map[string]struct {
		bodyBytes int
		// response is what the peer sends before it reads.
		response string
		// abandon sends the request and gives it up. It returns once the connection is closed.
		abandon func(ctx context.Context, cancel func(), c *exchange.Client, r exchange.Request)
	}{
		"no response in time": {heldBytes, "", func(ctx context.Context, _ func(), c *exchange.Client, r exchange.Request) {
			r.ResponseHeaderTimeout = 50 * time.Millisecond
			c.Do(ctx, r)
		}},
		"cancelled before the response": {heldBytes, "", func(ctx context.Context, cancel func(), c *exchange.Client, r exchange.Request) {
			time.AfterFunc(50*time.Millisecond, cancel)
			c.Do(ctx, r)
		}},
		"cancelled while the request is written": {endlessBytes, "", func(ctx context.Context, cancel func(), c *exchange.Client, r exchange.Request) {
			time.AfterFunc(50*time.Millisecond, cancel)
			c.Do(ctx, r)
		}},
		"response released before its end": {heldBytes, partialResponse, func(ctx context.Context, _ func(), c *exchange.Client, r exchange.Request) {
			if a, ok := c.Do(ctx, r).(exchange.Answered); ok {
				_, _ = io.ReadFull(a.Body, make([]byte, len("part")))
				a.Body.Release()
			}
		}},
		"cancelled while the response is read": {heldBytes, partialResponse, func(ctx context.Context, cancel func(), c *exchange.Client, r exchange.Request) {
			if a, ok := c.Do(ctx, r).(exchange.Answered); ok {
				_, _ = io.ReadFull(a.Body, make([]byte, len("part")))
				cancel()
				// The read ends when the connection is closed.
				_, _ = a.Body.Read(make([]byte, 1))
				a.Body.Release()
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, accepted := acceptWithSmallWindow(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			abandoned := make(chan struct{})
			go func() {
				defer close(abandoned)
				tt.abandon(ctx, cancel, exchange.NewClient(), post(address, tt.bodyBytes))
			}()
			c := <-accepted
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, tt.response)
			is.NoErr(err)
			<-abandoned
			is.True(len(readAfterwards(t, c)) < tt.bodyBytes)
		})
	}
}

// Guards against bytes that outlive the process: the kernel would go on to deliver what an exiting or killed process has
// written.
func TestRequestDoesNotOutliveItsProcess(t *testing.T) {
	tests := map[string]func(sender *exec.Cmd, stdin io.Closer) error{
		"exit": func(_ *exec.Cmd, stdin io.Closer) error { return stdin.Close() },
		"kill": func(sender *exec.Cmd, _ io.Closer) error { return sender.Process.Kill() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, accepted := acceptWithSmallWindow(t)
			sender := exec.Command(os.Args[0])
			sender.Env = append(os.Environ(), senderVariable+"="+address)
			stdin, err := sender.StdinPipe()
			is.NoErr(err)
			is.NoErr(sender.Start())
			c := <-accepted
			defer func() { _ = c.Close() }()
			first := make([]byte, 1)
			_, err = io.ReadFull(c, first) // the request is being written
			is.NoErr(err)
			is.NoErr(end(sender, stdin))
			// A killed process has a non-zero status.
			_ = sender.Wait()
			is.True(len(readAfterwards(t, c)) < heldBytes)
		})
	}
}

// Guards against the loss of a response by the reset: the peer answers before it has read the request and never reads it,
// and the whole response is read although the connection is reset at its end.
func TestResponseToAPartlyReadRequestIsComplete(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 4<<20)
	s := serve(t, func(_ *server, c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n")
		_, _ = c.Write(body)
		<-t.Context().Done()
	})
	received, err := readBody(exchange.NewClient().Do(t.Context(), post(s.address, endlessBytes)))
	is.NoErr(err)
	is.Equal(len(received), len(body))
}

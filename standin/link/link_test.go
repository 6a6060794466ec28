package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	shortWait   = 100 * time.Millisecond
	readTimeout = 5 * time.Second
)

// startEchoServer returns the address of a server that sends all bytes back.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func newLink(t *testing.T) *Link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link := New(l, startEchoServer(t))
	t.Cleanup(link.Close)
	return link
}

func TestPartitionDelaysBytesUntilHealed(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	r := bufio.NewReader(c)

	_, _ = io.WriteString(c, "one\n")
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n") // a healthy link forwards

	link.Partition()
	_, _ = io.WriteString(c, "two\n")
	_ = c.SetReadDeadline(time.Now().Add(shortWait))
	_, err = r.ReadString('\n')
	is.True(err != nil) // a partitioned link forwards nothing

	link.Heal()
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	line, err = r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "two\n") // held-back bytes arrive after the partition
}

func TestCloseConnections(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, _ = io.WriteString(c, "one\n")
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)

	link.CloseConnections()
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil) // the connection is closed
}

func TestRefuseAndListen(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	link.Refuse()
	_, err := net.Dial("tcp", link.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED)) // no process listens
	is.NoErr(link.Listen())
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, _ = io.WriteString(c, "one\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n") // the link forwards again
}

// An asymmetric fault drops the bytes of one direction only.
func TestDropBytesPerDirection(t *testing.T) {
	tests := map[string]struct{ toTarget, fromTarget, arrives bool }{
		"to target":   {toTarget: true},
		"from target": {fromTarget: true},
		"neither":     {arrives: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			link := newLink(t)
			c, err := net.Dial("tcp", link.Address())
			is.NoErr(err)
			link.DropBytes(tt.toTarget, tt.fromTarget)
			_, err = io.WriteString(c, "one\n")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(shortWait)))
			_, err = bufio.NewReader(c).ReadString('\n')
			is.Equal(err == nil, tt.arrives)
		})
	}
}

func TestDelayAppliesToBothDirections(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	link.SetDelay(shortWait)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	began := time.Now()
	_, err = io.WriteString(c, "one\n")
	is.NoErr(err)
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.True(time.Since(began) >= 2*shortWait) // to the target and back
}

func TestResetConnections(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, err = io.WriteString(c, "one\n")
	is.NoErr(err)
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	link.ResetConnections()
	is.NoErr(c.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

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
	silence = 100 * time.Millisecond
	bound   = 5 * time.Second
)

// newEcho returns the address of a server that sends each line back.
func newEcho(t *testing.T) string {
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
	link := New(l, newEcho(t))
	t.Cleanup(link.Close)
	return link
}

func TestLinkHoldsBackAndForwardsLater(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	r := bufio.NewReader(c)

	_, _ = io.WriteString(c, "one\n")
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n") // an open link forwards

	link.Partition()
	_, _ = io.WriteString(c, "two\n")
	_ = c.SetReadDeadline(time.Now().Add(silence))
	_, err = r.ReadString('\n')
	is.True(err != nil) // a cut link forwards nothing

	link.Heal()
	_ = c.SetReadDeadline(time.Now().Add(bound))
	line, err = r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "two\n") // what was held back arrives after the cut
}

func TestLinkReset(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, _ = io.WriteString(c, "one\n")
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)

	link.CloseConnections()
	_ = c.SetReadDeadline(time.Now().Add(bound))
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil) // the connection is closed
}

func TestLinkRefusesAndListensAgain(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	link.Refuse()
	_, err := net.Dial("tcp", link.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED)) // nobody listens
	is.NoErr(link.Listen())
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, _ = io.WriteString(c, "one\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n") // the link forwards again
}

// One way may lose all while the other one goes on.
func TestLinkLosesOneWay(t *testing.T) {
	tests := map[string]struct{ there, back, arrives bool }{
		"there":   {there: true},
		"back":    {back: true},
		"neither": {arrives: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			link := newLink(t)
			c, err := net.Dial("tcp", link.Address())
			is.NoErr(err)
			link.DropBytes(tt.there, tt.back)
			_, err = io.WriteString(c, "one\n")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(silence)))
			_, err = bufio.NewReader(c).ReadString('\n')
			is.Equal(err == nil, tt.arrives)
		})
	}
}

func TestLinkDelays(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	link.SetDelay(silence)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	began := time.Now()
	_, err = io.WriteString(c, "one\n")
	is.NoErr(err)
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.True(time.Since(began) >= 2*silence) // there and back
}

func TestLinkAborts(t *testing.T) {
	is := is.New(t)
	link := newLink(t)
	c, err := net.Dial("tcp", link.Address())
	is.NoErr(err)
	_, err = io.WriteString(c, "one\n")
	is.NoErr(err)
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	link.ResetConnections()
	is.NoErr(c.SetReadDeadline(time.Now().Add(bound)))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

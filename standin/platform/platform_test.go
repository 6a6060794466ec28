package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	client "gooseberrypin.example/router/adapter/platform"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/standin/platform"
)

const (
	testConfiguration = `{"revision":3,"pools":[{"name":"care","role":"decode","selector":"model=care"}]}`
)

func startPlatform(t *testing.T) (*platform.Platform, *client.Client) {
	p := platform.New()
	server := httptest.NewServer(p.ReadHandler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return p, client.NewClient(address, http.DefaultClient)
}

func TestManifestWatchInEachMode(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	ctx := context.Background()

	manifests := make(chan []byte)
	go func() {
		manifest, _ := c.Manifest(ctx, 0, time.Minute)
		manifests <- manifest
	}()
	revision, err := p.Publish([]byte(testConfiguration))
	is.NoErr(err)
	is.Equal(revision, int64(3))
	manifest, faults := configuration.ReadManifest(<-manifests)
	is.Equal(len(faults), 0)
	is.Equal(manifest.Revision, int64(3))
	part, err := c.Part(ctx, manifest.Parts[0].SHA256)
	is.NoErr(err)
	is.Equal(configuration.Digest(part), manifest.Parts[0].SHA256)

	is.NoErr(p.SetMode(platform.Stale))
	_, err = p.Publish([]byte(strings.Replace(testConfiguration, "3", "4", 1)))
	is.NoErr(err)
	content, err := c.Manifest(ctx, 3, 0)
	is.NoErr(err)
	is.Equal(content, nil) // a stale platform keeps serving revision 3

	is.NoErr(p.SetMode(platform.Down))
	_, err = c.Manifest(ctx, 3, 0)
	is.True(err != nil)

	is.NoErr(p.SetMode(platform.Up))
	content, err = c.Manifest(ctx, 3, 0)
	is.NoErr(err)
	is.True(content != nil)

	is.Equal(p.Reads(), platform.Reads{Manifest: 4, Part: 1, Total: 5})
}

func TestVMListWatch(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	version, err := p.PublishVMs([]byte(`{"vms":[{"name":"a","state":"live"}]}`))
	is.NoErr(err)
	is.Equal(version, int64(1))
	content, err := c.VMs(context.Background(), 0, 0)
	is.NoErr(err)
	is.True(strings.Contains(string(content), `"version":1`))
	content, err = c.VMs(context.Background(), 1, 0)
	is.NoErr(err)
	is.Equal(content, nil)
}

func TestPublishManifestWithParts(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	_, err := p.Publish([]byte(`{"manifest":{"revision":5},"parts":{"limits":{"limits":{"piece_tokens":4096}}}}`))
	is.NoErr(err)
	content, err := c.Manifest(context.Background(), 0, 0)
	is.NoErr(err)
	manifest, faults := configuration.ReadManifest(content)
	is.Equal(len(faults), 0)
	is.Equal(manifest.Parts[0].Name, "limits")
}

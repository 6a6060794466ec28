package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxContentBytes bounds a manifest, VM list or part after decompression.
	maxContentBytes = 4 << 20
	// maxCachedContents is the number of compressed contents that are cached, because many peers read the same ones.
	maxCachedContents = 4
)

type (
	// compressor compresses contents by gzip and caches the most recent results. A content must not be modified after
	// it was compressed. A compressor is safe for concurrent use.
	compressor struct {
		mu     sync.Mutex
		recent []compressedContent
	}

	// compressedContent is a content with its compressed form.
	compressedContent struct {
		content []byte
		gzip    []byte
	}
)

// compress returns the compressed content, or nil for an empty content. It identifies a cached content by the address
// of its first byte and its length.
func (c *compressor) compress(content []byte) []byte {
	if len(content) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.recent {
		if len(e.content) == len(content) && &e.content[0] == &content[0] {
			return e.gzip
		}
	}
	if len(c.recent) >= maxCachedContents {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	e := compressedContent{content: content, gzip: gzipBytes(content)}
	c.recent = append(c.recent, e)
	return e.gzip
}

func gzipBytes(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the content of its compressed form, or nil for an empty one.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxContentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	if len(content) > maxContentBytes {
		return nil, eris.Errorf("peer: decompressed content is larger than %d bytes", maxContentBytes)
	}
	return content, nil
}

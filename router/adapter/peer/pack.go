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
	// maxBytes bounds a manifest, VM list or part after decompression.
	maxBytes = 4 << 20
	// maxPacked is the number of contents that are kept compressed, as many peers read
	// the same ones.
	maxPacked = 4
)

type (
	// packer compresses contents, which must not change afterwards.
	packer struct {
		mu     sync.Mutex
		recent []packed
	}

	packed struct {
		content []byte
		gzip    []byte
	}
)

// pack returns the content compressed; an empty one stays empty.
func (p *packer) pack(content []byte) []byte {
	if len(content) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.recent {
		if len(c.content) == len(content) && &c.content[0] == &content[0] {
			return c.gzip
		}
	}
	if len(p.recent) >= maxPacked {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	c := packed{content: content, gzip: compress(content)}
	p.recent = append(p.recent, c)
	return c.gzip
}

func compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	if len(content) > maxBytes {
		return nil, eris.Errorf("peer: more than %d bytes", maxBytes)
	}
	return content, nil
}

package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"gooseberrypin.example/router/label"
)

const (
	// MaxPartBytes is the size of the largest part that the platform can store.
	MaxPartBytes = 1_000_000
	// MaxManifestBytes is the size of the largest manifest that the platform can store.
	MaxManifestBytes = 1_000_000
	// MaxParts is the largest number of parts of a manifest.
	MaxParts = 1024
)

type (
	// Manifest lists the parts of one revision.
	Manifest struct {
		Revision int64           `json:"revision"`
		Parts    []PartReference `json:"parts"`
	}

	// PartReference identifies a part by the SHA-256 of its content, in lower-case hexadecimal.
	PartReference struct {
		Name   string `json:"name"`
		SHA256 string `json:"sha256"`
		Bytes  int64  `json:"bytes"`
	}

	// part is one piece of a configuration. Its JSON object is the content of a part.
	part struct {
		Upstreams []Upstream `json:"upstreams,omitempty"`
		Pools     []Pool     `json:"pools,omitempty"`
		Rules     []Rule     `json:"rules,omitempty"`
		Partners  []Partner  `json:"partners,omitempty"`
		Limits    *Limits    `json:"limits,omitempty"`
	}
)

// Digest returns the SHA-256 of a manifest or part, in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ReadManifest decodes and checks a manifest. It returns the manifest and all faults of its content. The manifest
// is nil if the content is too large, and must not be used if there are faults.
func ReadManifest(content []byte) (*Manifest, []Fault) {
	if len(content) > MaxManifestBytes {
		return nil, []Fault{{Path: "manifest", Text: fmt.Sprintf("%d bytes, more than %d", len(content), MaxManifestBytes)}}
	}
	m := &Manifest{}
	f := &faults{}
	decode(content, m, "manifest", f)
	if len(f.list) == 0 {
		m.check(f)
	}
	return m, f.list
}

func (m *Manifest) check(f *faults) {
	if m.Revision < 1 {
		f.addf("manifest.revision", "%d is below 1", m.Revision)
	}
	if len(m.Parts) == 0 {
		f.addf("manifest.parts", "empty")
	}
	if len(m.Parts) > MaxParts {
		f.addf("manifest.parts", "%d parts, more than %d", len(m.Parts), MaxParts)
	}
	names := make(map[string]bool, len(m.Parts))
	for i, p := range m.Parts {
		path := fmt.Sprintf("manifest.parts[%d]", i)
		if !label.ValidWord(p.Name) {
			f.addf(path+".name", "%q is not a name", p.Name)
		}
		if names[p.Name] {
			f.addf(path+".name", "duplicate name %q", p.Name)
		}
		names[p.Name] = true
		if !validDigest(p.SHA256) {
			f.addf(path+".sha256", "%q is not a SHA-256 in hexadecimal", p.SHA256)
		}
		if p.Bytes < 1 || p.Bytes > MaxPartBytes {
			f.addf(path+".bytes", "%d is not within 1 to %d", p.Bytes, MaxPartBytes)
		}
	}
}

// Missing returns the references to parts whose content is not in parts, which is keyed by SHA-256. Each content is
// returned once.
func (m *Manifest) Missing(parts map[string][]byte) []PartReference {
	var missing []PartReference
	for _, p := range m.Parts {
		_, found := parts[p.SHA256]
		listed := slices.ContainsFunc(missing, func(other PartReference) bool { return other.SHA256 == p.SHA256 })
		if !found && !listed {
			missing = append(missing, p)
		}
	}
	return missing
}

// Build checks a manifest and its parts, which are keyed by SHA-256. It returns either the snapshot or the faults.
// The result depends on the content only.
func Build(manifest []byte, parts map[string][]byte) (*Snapshot, []Fault) {
	return BuildFrom(nil, manifest, parts)
}

// BuildFrom returns the same result as Build. It reuses the decoded parts of an earlier snapshot, which may be nil.
func BuildFrom(earlier *Snapshot, manifest []byte, parts map[string][]byte) (*Snapshot, []Fault) {
	m, list := ReadManifest(manifest)
	if len(list) > 0 {
		return nil, list
	}
	f := &faults{}
	decoded := decodeParts(m, earlier, parts, f)
	c := mergeParts(m, decoded, f)
	if len(f.list) > 0 {
		return nil, f.list
	}
	c.check(f)
	if len(f.list) > 0 {
		return nil, f.list
	}
	index, err := NewIndex(c)
	if err != nil {
		return nil, []Fault{{Path: "pools", Text: err.Error()}}
	}
	return &Snapshot{
		Revision: m.Revision,
		Digest:   Digest(manifest),
		Manifest: manifest,
		Parts:    m.referencedParts(parts),
		Index:    index,
		decoded:  decoded,
	}, nil
}

// referencedParts returns those of the parts that the manifest references.
func (m *Manifest) referencedParts(parts map[string][]byte) map[string][]byte {
	own := make(map[string][]byte, len(m.Parts))
	for _, p := range m.Parts {
		own[p.SHA256] = parts[p.SHA256]
	}
	return own
}

// decodeParts checks the content of the parts against the manifest and decodes them. It returns the decoded parts,
// keyed by SHA-256, without those whose content is missing or differs from the reference.
func decodeParts(m *Manifest, earlier *Snapshot, parts map[string][]byte, f *faults) map[string]*part {
	decoded := make(map[string]*part, len(m.Parts))
	for _, reference := range m.Parts {
		content, found := parts[reference.SHA256]
		if !checkContent(reference, content, found, f) {
			continue
		}
		if p := earlier.decodedPart(reference.SHA256); p != nil {
			decoded[reference.SHA256] = p
			continue
		}
		p := &part{}
		decode(content, p, "parts."+reference.Name, f)
		decoded[reference.SHA256] = p
	}
	return decoded
}

// mergeParts joins the parts into one configuration, in the order of the manifest. Only one part may contain
// limits.
func mergeParts(m *Manifest, decoded map[string]*part, f *faults) *Configuration {
	c := &Configuration{Revision: m.Revision}
	limitsPart := ""
	for _, reference := range m.Parts {
		p, found := decoded[reference.SHA256]
		if !found {
			continue
		}
		c.Upstreams = append(c.Upstreams, p.Upstreams...)
		c.Pools = append(c.Pools, p.Pools...)
		c.Rules = append(c.Rules, p.Rules...)
		c.Partners = append(c.Partners, p.Partners...)
		if p.Limits == nil {
			continue
		}
		if limitsPart != "" {
			f.addf("parts."+reference.Name+".limits", "already set in part %q", limitsPart)
		}
		limitsPart = reference.Name
		c.Limits = *p.Limits
	}
	return c
}

// checkContent reports whether a part was found and has the size and SHA-256 of its reference.
func checkContent(reference PartReference, content []byte, found bool, f *faults) bool {
	path := "parts." + reference.Name
	if !found {
		f.addf(path, "missing")
		return false
	}
	if int64(len(content)) != reference.Bytes {
		f.addf(path, "%d bytes, want %d as in the manifest", len(content), reference.Bytes)
		return false
	}
	if Digest(content) != reference.SHA256 {
		f.addf(path, "the SHA-256 differs from the manifest's")
		return false
	}
	return true
}

// Read decodes and checks a complete configuration in one JSON value, the form in which operators write it. It
// returns either the configuration or the faults of its content.
func Read(content []byte) (*Configuration, []Fault) {
	c := &Configuration{}
	f := &faults{}
	decode(content, c, "", f)
	if len(f.list) > 0 {
		return nil, f.list
	}
	if c.Revision < 1 {
		f.addf("revision", "%d is below 1", c.Revision)
	}
	c.check(f)
	if len(f.list) > 0 {
		return nil, f.list
	}
	return c, nil
}

func marshal(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic("configuration: plain data can't be marshalled: " + err.Error())
	}
	return content
}

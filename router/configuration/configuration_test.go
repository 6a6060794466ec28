package configuration_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/configuration"
	"gooseberrypin.example/router/label"
)

// smallConfiguration returns a valid configuration with one pool and one upstream for each role, and with rules for
// a model and a service.
func smallConfiguration() *configuration.Configuration {
	upstream := func(n int, name string, kind configuration.Kind, role string) configuration.Upstream {
		return configuration.Upstream{
			Name: name, Kind: kind, VM: "vm-" + name, Region: "sul", DataCentre: "sul-a",
			Address: fmt.Sprintf("127.0.0.1:%d", 7000+n), SidecarAddress: fmt.Sprintf("127.0.0.1:%d", 8000+n),
			Labels: label.Labels{"role": role},
		}
	}
	return &configuration.Configuration{
		Revision: 7,
		Upstreams: []configuration.Upstream{
			upstream(1, "p1", configuration.KindEngine, "prefill"),
			upstream(2, "d1", configuration.KindEngine, "decode"),
			upstream(3, "s1", configuration.KindService, "booking"),
		},
		Pools: []configuration.Pool{
			{Name: "prefill", Role: configuration.RolePrefill, Selector: "role=prefill"},
			{Name: "decode", Role: configuration.RoleDecode, Selector: "role=decode"},
			{Name: "booking", Role: configuration.RoleService, Selector: "role=booking"},
		},
		Rules: []configuration.Rule{
			{Name: "care", Model: "care", PrefillPool: "prefill", DecodePool: "decode", MaxOutputTokens: 512},
			{Name: "booking", Service: "booking", ServicePool: "booking"},
		},
		Partners: []configuration.Partner{
			{Name: "line", CredentialSHA256: []string{access.NewDigest("line").String()}, Rules: []string{"care"}},
		},
		Limits: configuration.Limits{KeyHorizonSeconds: 600, ClockSkewMS: 2000},
	}
}

// faultTexts returns the faults as text, one on each line.
func faultTexts(faults []configuration.Fault) string {
	list := make([]string, 0, len(faults))
	for _, f := range faults {
		list = append(list, f.String())
	}
	return strings.Join(list, "\n")
}

func TestCheck(t *testing.T) {
	type config = configuration.Configuration
	cases := map[string]struct {
		edit func(c *config)
		want string // one line for each fault, which begins with it
	}{
		"valid":                     {func(*config) {}, ""},
		"selector":                  {func(c *config) { c.Pools[0].Selector = "role like x" }, "pools[0].selector: selector:"},
		"duplicate name":            {func(c *config) { c.Upstreams[1].Name = "p1" }, `upstreams[1].name: duplicate name "p1"`},
		"address":                   {func(c *config) { c.Upstreams[0].Address = "host:1" }, "upstreams[0].address:"},
		"port 0":                    {func(c *config) { c.Upstreams[0].Address = "127.0.0.1:0" }, "upstreams[0].address:"},
		"duplicate address":         {func(c *config) { c.Upstreams[1].SidecarAddress = "127.0.0.1:8001" }, "upstreams[1].sidecar_address: 127.0.0.1:8001 is already used by upstreams[0]"},
		"kind":                      {func(c *config) { c.Upstreams[2].Kind = "x" }, "upstreams[2].kind:\npools[2].selector: matches"},
		"label":                     {func(c *config) { c.Upstreams[0].Labels["a b"] = "c" }, "upstreams[0].labels:"},
		"engine field of a service": {func(c *config) { c.Upstreams[2].HeedsFencing = true }, "upstreams[2].heeds_fencing:"},
		"role":                      {func(c *config) { c.Pools[1].Role = "x" }, "pools[1].role:\nrules[0].decode_pool:"},
		"pools of two roles": {
			func(c *config) { c.Pools[0].Selector = "role in (prefill,decode)" },
			`pools[1].selector: matches upstream "d1", which is in pool "prefill" with`,
		},
		"kind that can't serve the role": {func(c *config) { c.Pools[2].Selector = "role=decode" }, `pools[2].selector: matches upstream "d1", whose kind`},
		"unknown pool":                   {func(c *config) { c.Rules[0].DecodePool = "x" }, `rules[0].decode_pool: no pool "x"`},
		"pool of another role":           {func(c *config) { c.Rules[0].DecodePool = "prefill" }, `rules[0].decode_pool: pool "prefill" has the role`},
		"model and service":              {func(c *config) { c.Rules[0].Service = "x" }, "rules[0]: want either"},
		"duplicate model": {func(c *config) {
			c.Rules = append(c.Rules, c.Rules[0])
			c.Rules[2].Name = "other"
		}, "rules[2].model:"},
		"repeatable model":           {func(c *config) { c.Rules[0].Repeatable = true }, "rules[0].repeatable:"},
		"unknown rule":               {func(c *config) { c.Partners[0].Rules = []string{"x"} }, `partners[0].rules[0]: no rule "x"`},
		"no credential":              {func(c *config) { c.Partners[0].CredentialSHA256 = nil }, "partners[0].credential_sha256: empty"},
		"plain credential":           {func(c *config) { c.Partners[0].CredentialSHA256[0] = "secret" }, "partners[0].credential_sha256[0]: not a SHA-256"},
		"shared credential":          {func(c *config) { c.Partners = append(c.Partners, c.Partners[0]); c.Partners[1].Name = "b" }, "partners[1].credential_sha256[0]: is already used by partner"},
		"weight":                     {func(c *config) { c.Partners[0].Weight = -1 }, "partners[0].weight:"},
		"limit":                      {func(c *config) { c.Limits.PieceTokens = -1 }, "limits.piece_tokens:"},
		"skew not below key horizon": {func(c *config) { c.Limits.ClockSkewMS = 600_000 }, "limits.clock_skew_ms:"},
		"skew not below the default horizon": {
			func(c *config) { c.Limits.KeyHorizonSeconds, c.Limits.ClockSkewMS = 0, 600_000 }, "limits.clock_skew_ms:",
		},
		"default skew not below the horizon": {
			func(c *config) { c.Limits.KeyHorizonSeconds, c.Limits.ClockSkewMS = 2, 0 }, "limits.clock_skew_ms:",
		},
		"several faults": {func(c *config) {
			c.Upstreams[0].VM = ""
			c.Rules[1].ServicePool = ""
			c.Limits.FirstTokenMS = -1
		}, "upstreams[0].vm:\nrules[1].service_pool:\nlimits.first_token_ms:"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			content := smallConfiguration()
			c.edit(content)
			got := strings.Split(faultTexts(content.Check()), "\n")
			want := strings.Split(c.want, "\n")
			is.Equal(len(got), len(want)) // number of faults
			for n := range want {
				if !strings.HasPrefix(got[n], want[n]) {
					t.Errorf("fault %d is %q, want %q", n, got[n], want[n])
				}
			}
		})
	}
}

func TestReadReportsMalformedInput(t *testing.T) {
	cases := map[string]struct{ content, want string }{
		"not JSON":              {`{`, "not a JSON value: unexpected end of JSON input"},
		"two values":            {`{} {}`, "not a JSON value: invalid character '{' after top-level value"},
		"not an object":         {`[]`, "want an object, have []"},
		"unknown field":         {`{"pools":[{"title":"a"}],"x":1}`, "pools[0].title: unknown field\nx: unknown field"},
		"field in another case": {`{"Pools":[]}`, "Pools: unknown field"},
		"duplicate field":       {`{"revision":1,"revision":2}`, "revision: duplicate field"},
		"wrong type":            {`{"revision":"1"}`, `revision: want a whole number, have "1"`},
		"fraction":              {`{"limits":{"piece_tokens":1.5}}`, "limits.piece_tokens: want a whole number, have 1.5"},
		"null number":           {`{"revision":null}`, "revision: want a whole number, have null"},
		"null object":           {`{"pools":[null]}`, "pools[0]: want an object, have null"},
		"null list":             {`{"pools":null}`, "revision: 0 is below 1"},
		"label":                 {`{"upstreams":[{"labels":{"a":1}}]}`, `upstreams[0].labels: want an object of strings, have {"a":1}`},
		"empty revision":        {`{}`, "revision: 0 is below 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := configuration.Read([]byte(c.content))
			is.New(t).Equal(faultTexts(faults), c.want)
		})
	}
}

func TestSplitAndBuild(t *testing.T) {
	is := is.New(t)
	manifest, parts := configuration.Split(smallConfiguration())
	snapshot, faults := configuration.Build(manifest, parts)
	is.Equal(faultTexts(faults), "")
	is.Equal(snapshot.Revision, int64(7))
	is.Equal(snapshot.Digest, configuration.Digest(manifest))
	is.Equal(snapshot.Index.Configuration(), smallConfiguration())
	is.Equal(len(snapshot.Parts), len(parts))

	edited := smallConfiguration()
	edited.Revision = 8
	edited.Partners[0].Weight = 2
	next, _ := configuration.Split(edited)
	m, faults := configuration.ReadManifest(next)
	is.Equal(faultTexts(faults), "")
	is.Equal(len(m.Missing(parts)), 1) // only the partners changed
	_, nextParts := configuration.Split(edited)
	fromScratch, _ := configuration.Build(next, nextParts)
	shared, _ := configuration.BuildFrom(snapshot, next, nextParts)
	is.Equal(shared.Index.Configuration(), fromScratch.Index.Configuration())
}

func TestBuildReportsFaults(t *testing.T) {
	good := `{"pools":[]}`
	reference := func(name, content string, bytes int) string {
		return fmt.Sprintf(`{"name":%q,"sha256":%q,"bytes":%d}`, name, configuration.Digest([]byte(content)), bytes)
	}
	manifest := func(references ...string) string {
		return `{"revision":1,"parts":[` + strings.Join(references, ",") + `]}`
	}
	limits := `{"limits":{}}`
	cases := map[string]struct {
		manifest string
		part     string
		want     string
	}{
		"no revision":    {`{"parts":[` + reference("a", good, 12) + `]}`, good, "manifest.revision: 0 is below 1"},
		"no parts":       {`{"revision":1}`, good, "manifest.parts: empty"},
		"duplicate name": {manifest(reference("a", good, 12), reference("a", good, 12)), good, `manifest.parts[1].name: duplicate name "a"`},
		"digest":         {`{"revision":1,"parts":[{"name":"a","sha256":"AB","bytes":1}]}`, good, `manifest.parts[0].sha256: "AB" is not a SHA-256 in hexadecimal`},
		"part too large": {manifest(reference("a", good, 1_000_001)), good, "manifest.parts[0].bytes: 1000001 is not within 1 to 1000000"},
		"missing part":   {manifest(reference("a", "other", 5)), good, "parts.a: missing"},
		"size differs":   {manifest(reference("a", good, 13)), good, "parts.a: 12 bytes, want 13 as in the manifest"},
		"revision in a part": {
			manifest(reference("a", `{"revision":1}`, 14)), `{"revision":1}`, "parts.a.revision: unknown field",
		},
		"limits in two parts": {
			manifest(reference("a", limits, 13), reference("b", limits, 13)), limits,
			`parts.b.limits: already set in part "a"`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parts := map[string][]byte{configuration.Digest([]byte(c.part)): []byte(c.part)}
			snapshot, faults := configuration.Build([]byte(c.manifest), parts)
			is.Equal(snapshot, nil)
			is.Equal(faultTexts(faults), c.want)
		})
	}
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	after := smallConfiguration()
	after.Revision = 8
	after.Upstreams[0].Labels = label.Labels{"role": "decode"}
	after.Upstreams[1].Leaving = true
	after.Partners[0].Weight = 3
	old, err := configuration.NewIndex(smallConfiguration())
	is.NoErr(err)
	next, err := configuration.NewIndex(after)
	is.NoErr(err)
	got, err := json.Marshal(configuration.Diff(old, next))
	is.NoErr(err)
	is.Equal(string(got), `{"old_revision":7,"new_revision":8,"upstreams":[`+
		`{"upstream":"d1","change":"leaves","old_pools":["decode"],"new_pools":["decode"],"old_role":"decode","new_role":"decode"},`+
		`{"upstream":"p1","change":"moved","old_pools":["prefill"],"new_pools":["decode"],"old_role":"prefill","new_role":"decode"}],`+
		`"pools":[],"rules":[],"partners":["line"],"limits":false}`)
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	c := smallConfiguration()
	c.Upstreams[1].Leaving = true
	index, err := configuration.NewIndex(c)
	is.NoErr(err)
	is.Equal(index.ExplainModel("line", "care").Problem, `pool "decode" has no upstream for new work`)
	is.Equal(index.ExplainService("line", "booking").Problem, `partner "line" may not use the rule "booking"`)
	is.Equal(index.ExplainModel("line", "x").Problem, `no rule for the model "x"`)
	is.Equal(index.ExplainModel("x", "care").Problem, `no partner "x"`)
	u := index.ExplainUpstream("p1")
	is.True(u.Pools[0].Matches)
	is.Equal(u.Pools[1].Unmet, []string{"role=decode"})
	is.Equal(index.ExplainUpstream("x"), nil)
}

func TestStoreRejectsOlderRevisions(t *testing.T) {
	is := is.New(t)
	s := configuration.NewStore()
	changed := s.Changed()
	is.True(s.Put(&configuration.Snapshot{Revision: 3, Digest: "a"}))
	<-changed
	is.True(!s.Put(&configuration.Snapshot{Revision: 3, Digest: "b"}))
	is.True(!s.Put(&configuration.Snapshot{Revision: 2}))
	is.Equal(s.Current().Digest, "a")
}

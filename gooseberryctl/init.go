package gooseberryctl

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"gooseberrypin.example/router/configuration"
)

const (
	deploymentVaral    = "varal"
	deploymentKalamaki = "kalamaki"
	filePermission     = 0o644
)

type (
	// InitCommand writes an initial configuration.
	InitCommand struct {
		Deployment string `required:"" enum:"varal,kalamaki" help:"Deployment whose initial configuration to write: varal or kalamaki."`
		Credential string `required:"" help:"SHA-256, in hexadecimal, of the first partner's credential."`
		Output     string `short:"o" help:"File to write. Default: standard output."`
	}
)

// Run implements the command.
func (c *InitCommand) Run(o *output) error {
	start := Deployment(c.Deployment, strings.ToLower(c.Credential))
	if faults := start.Check(); len(faults) > 0 {
		return &faultError{message: faults[0].String()}
	}
	content, err := json.MarshalIndent(start, "", "  ")
	if err != nil {
		return eris.Wrap(err, "init")
	}
	content = append(content, '\n')
	if c.Output != "" {
		return eris.Wrap(os.WriteFile(c.Output, content, filePermission), "init")
	}
	_, err = o.out.Write(content)
	return eris.Wrap(err, "init")
}

// Deployment returns the initial configuration of the deployment kalamaki, or of varal for any other name. credentialSHA256
// is the digest of the first partner's credential, in hexadecimal.
func Deployment(name, credentialSHA256 string) *configuration.Configuration {
	if name == deploymentKalamaki {
		return kalamaki(credentialSHA256)
	}
	return varal(credentialSHA256)
}

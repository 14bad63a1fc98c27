package client

import (
	"runtime/debug"
)

type versionOptions struct {
	client *Client
}

// Execute prints the version.
func (o *versionOptions) Execute([]string) error {
	return o.client.runVersion()
}

func (c *Client) runVersion() error {
	body := struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version: "unknown", Go: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		body.Version = info.Main.Version
		body.Go = info.GoVersion
	}
	return c.print(body, func() [][]string {
		return [][]string{{programName, body.Version, body.Go}}
	})
}

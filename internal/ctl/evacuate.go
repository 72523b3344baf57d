package ctl

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"pollenlead/internal/store"
	"pollenlead/platform"
)

// EvacuateCmd groups the commands for the evacuation of availability zones on the users' platform.
type EvacuateCmd struct {
	Store string `required:"" help:"Address of the platform's store." env:"POLLENCTL_STORE" placeholder:"IP:PORT"`

	Start EvacuateStartCmd `cmd:"" help:"Request that nothing is started in a zone. What runs there goes on."`
	End   EvacuateEndCmd   `cmd:"" help:"Take the evacuation of a zone back."`
	List  EvacuateListCmd  `cmd:"" help:"Show the evacuated zones."`
}

// EvacuationsResponse is the JSON output of the evacuate commands.
type EvacuationsResponse struct {
	Evacuated []string `json:"evacuated"`
}

// EvacuateStartCmd requests the evacuation of a zone.
type EvacuateStartCmd struct {
	Zone  string `arg:"" help:"The availability zone."`
	Force bool   `help:"Request it even if the zone has no workers now."`
}

// Run writes the request and prints the evacuated zones.
func (c *EvacuateStartCmd) Run(s *session) error {
	client := platform.NewOperatorClient(s.cli.Evacuate.Store)
	zones, err := client.Zones(s.ctx)
	if err != nil && !c.Force {
		return err
	}
	if !c.Force && !slices.Contains(zones, c.Zone) {
		return exitWith(ExitInvalid, "zone %s has no workers; zones with workers: %s", c.Zone, strings.Join(zones, ", "))
	}
	if err := client.RequestEvacuation(s.ctx, c.Zone); err != nil {
		return writeError(err)
	}
	return printEvacuations(s, client)
}

// EvacuateEndCmd takes the evacuation of a zone back.
type EvacuateEndCmd struct {
	Zone string `arg:"" help:"The availability zone."`
}

// Run removes the request and prints the zones that remain evacuated.
func (c *EvacuateEndCmd) Run(s *session) error {
	client := platform.NewOperatorClient(s.cli.Evacuate.Store)
	zones, err := client.Evacuations(s.ctx)
	if err != nil {
		return err
	}
	if !slices.Contains(zones, c.Zone) {
		return exitWith(ExitInvalid, "zone %s is not evacuated", c.Zone)
	}
	if err := client.TakeBackEvacuation(s.ctx, c.Zone); err != nil {
		return writeError(err)
	}
	return printEvacuations(s, client)
}

// EvacuateListCmd shows the evacuated zones.
type EvacuateListCmd struct{}

// Run prints the evacuated zones.
func (*EvacuateListCmd) Run(s *session) error {
	return printEvacuations(s, platform.NewOperatorClient(s.cli.Evacuate.Store))
}

// writeError adds the exit code of a write whose outcome is not known.
func writeError(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return &exitError{code: ExitUnresolved, err: err}
	}
	return err
}

func printEvacuations(s *session, client *platform.OperatorClient) error {
	zones, err := client.Evacuations(s.ctx)
	if err != nil {
		return err
	}
	return s.print(EvacuationsResponse{Evacuated: zones}, func(w io.Writer) {
		if len(zones) == 0 {
			fmt.Fprintln(w, "no zone is evacuated")
			return
		}
		fmt.Fprintln(w, "evacuated:", strings.Join(zones, ", "))
	})
}

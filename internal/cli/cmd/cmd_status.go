package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

func statusCommand() command {
	return command{name: "status", summary: "Show the state of an entry VM and the entry VMs it knows.", run: runStatus}
}

func runStatus(ctx context.Context, env environment, args []string) error {
	set := newSettings("status [flags]", "Shows the state of an entry VM, its pools and links, and the entry VMs it knows.",
		"  greengagetally status --operator-address 127.0.0.1:7104 --token-file ~/.token --tls-ca ca.pem\n")
	output := set.output()
	newClient := set.operatorFlags()
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	status, err := call(ctx, client, func(ctx context.Context, c *operatorapi.Client) (*operatorapi.Status, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return err
	}

	return writeResult(env, *output, status, statusText(status))
}

func statusText(status *operatorapi.Status) string {
	var out strings.Builder
	fmt.Fprintf(&out, "entry VM %s in %s (%s): %s, configuration version %d", status.VM, status.Zone, status.Region, status.State, status.ConfigMinusVersion)
	if status.Stale {
		out.WriteString(", stale")
	}
	out.WriteString("\n")
	for _, p := range status.Pools {
		fmt.Fprintf(&out, "pool %s: %d in use of %d held, capacity %d\n", p.Name, p.InMinusUse, p.Held, p.Capacity)
	}
	for _, l := range status.Links {
		fmt.Fprintf(&out, "link %s to %s: %d of %d bit/s used, limit %d bit/s\n", l.From, l.To, l.UsedMinusBits, l.ShareMinusBits, l.LimitMinusBits)
	}
	if len(status.Leaving) > 0 {
		fmt.Fprintf(&out, "leaving: %s\n", strings.Join(status.Leaving, ", "))
	}
	if len(status.Stragglers) > 0 {
		fmt.Fprintf(&out, "stragglers: %s\n", strings.Join(status.Stragglers, ", "))
	}
	for _, r := range status.Refusals {
		fmt.Fprintf(&out, "refused %s: %d\n", r.Reason, r.Count)
	}
	for _, e := range status.Entries {
		fmt.Fprintf(&out, "entry %s in %s: %s, configuration version %d\n", e.VM, e.Zone, e.State, e.ConfigMinusVersion)
	}

	return out.String()
}

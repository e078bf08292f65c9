package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

func lookupCommand() command {
	return command{name: "lookup", summary: "Ask which entry VMs a caller should use.", run: runLookup}
}

func runLookup(ctx context.Context, env environment, args []string) error {
	set := newSettings("lookup [flags] <service>", "Asks an entry VM which entry VMs a caller of a service should use.",
		"  greengagetally lookup --lookup-address 127.0.0.1:7100 booking\n"+
			"  greengagetally lookup --lookup-address 127.0.0.1:7100 --client-address 198.51.100.7 booking\n")
	output := set.output()
	address := set.address("lookup-address", "", true, "Lookup address of an entry VM.")
	clientAddress := set.text("client-address", "", false, "Address of the caller; the address of the connection when empty.")
	timeout := set.duration("timeout", 5*time.Second, time.Millisecond, time.Minute, "Time to wait for the response.")
	service := set.argument("service", true, "Name or host of the service.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := entryapi.NewClient("http://"+address.String(), entryapi.WithClient(&http.Client{
		Timeout: *timeout, Transport: wirehttp.Transport{Transport: &http.Transport{
			Proxy: http.ProxyFromEnvironment, DialContext: wirehttp.Dial(new(net.Dialer).DialContext),
		}},
	}))
	if err != nil {
		return fmt.Errorf("lookup client: %w", err)
	}
	params := entryapi.LookupParams{Service: *service}
	if *clientAddress != "" {
		params.Address.SetTo(*clientAddress)
	}
	res, err := client.Lookup(ctx, params)
	if err != nil {
		return fmt.Errorf("lookup: %w", err)
	}
	switch res := res.(type) {
	case *entryapi.LookupAnswer:
		return writeResult(env, *output, res, lookupText(res))
	case *entryapi.FailureStatusCode:
		return errors.New(res.Response.Message)
	default:
		return errors.New("unexpected response of the entry VM")
	}
}

func lookupText(answer *entryapi.LookupAnswer) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s is served in %s, answer valid for %d s", answer.Service, answer.Region, answer.TTLMinusSeconds)
	if answer.Stale {
		out.WriteString(" (stale)")
	}
	out.WriteString("\n")
	for _, e := range answer.Entries {
		fmt.Fprintf(&out, "%s in %s: requests %s, lookups %s\n", e.VM, e.Zone, e.RequestMinusAddress, e.LookupMinusAddress)
	}

	return out.String()
}

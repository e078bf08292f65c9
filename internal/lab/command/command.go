// Package command parses the command line of greengagetally-lab and runs its
// commands.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/demo"
	"github.com/greengagetally/greengagetally/internal/lab/experiment"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
)

var errUsage = errors.New("a command is expected; see --help")

// Main runs the command that the arguments name and returns the exit code: 0 on success,
// 1 when the command failed and 2 for wrong usage.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	err := run(ctx, args, stdout)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "greengagetally-lab:", err)
	if errors.Is(err, errUsage) {
		return 2
	}

	return 1
}

func run(ctx context.Context, args []string, stdout io.Writer) error {
	labBinary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own path: %w", err)
	}
	productBinary := filepath.Join(filepath.Dir(labBinary), "greengagetally")
	listen, specFile, targets, name := "127.0.0.1:7001", "", "", ""
	exampleDir, examplesDir, pagesDir, runs := "examples/voix-darmor", "examples", "docs/measurements", 3

	p := flaggy.NewParser("greengagetally-lab")
	p.Description = "Simulated platform and backend servers, load generator and experiments; never shipped."
	addCommand := func(name, description string) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = description
		p.AttachSubcommand(c, 1)

		return c
	}
	platformCmd := addCommand("platform", "Run the simulated platform.")
	platformCmd.String(&listen, "", "listen", "Address of the API and the control endpoints.")
	backendCmd := addCommand("backend", "Run simulated backend servers.")
	backendCmd.String(&listen, "", "listen", "Address of the control endpoints.")
	backendCmd.String(&specFile, "", "spec", "JSON file that lists the servers.")
	forwardCmd := addCommand("forward", "Run a plain forwarder, the baseline for entry VMs.")
	forwardCmd.String(&listen, "", "listen", "Address that accepts requests.")
	forwardCmd.String(&targets, "", "targets", "Addresses of the backend servers, separated by commas.")
	demoCmd := addCommand("demo", "Run a configuration folder with real processes and send traffic.")
	demoCmd.String(&exampleDir, "", "example", "Configuration folder to run.")
	demoCmd.String(&productBinary, "", "product", "Path of the greengagetally binary.")
	experimentCmd := addCommand("experiment", "Measure a case and write its page: "+experiment.CaseNames()+".")
	experimentCmd.AddPositionalValue(&name, "case", 1, true, "Name of the case.")
	experimentCmd.Int(&runs, "", "runs", "Number of runs.")
	experimentCmd.String(&examplesDir, "", "examples", "Parent folder of the example folders.")
	experimentCmd.String(&pagesDir, "", "pages", "Folder for the result pages.")
	experimentCmd.String(&productBinary, "", "product", "Path of the greengagetally binary.")
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}

	switch {
	case platformCmd.Used:
		return serve(ctx, listen, platform.New())
	case backendCmd.Used:
		return serveBackends(ctx, listen, specFile)
	case forwardCmd.Used:
		return serve(ctx, listen, &backend.Forwarder{Targets: strings.Split(targets, ",")})
	case demoCmd.Used:
		return demo.Run(ctx, productBinary, labBinary, exampleDir, stdout)
	case experimentCmd.Used:
		return experiment.Run(ctx, name, experiment.Settings{
			ProductBinary: productBinary, LabBinary: labBinary, ExamplesDir: examplesDir, PagesDir: pagesDir, Runs: runs, Out: stdout,
		})
	default:
		return errUsage
	}
}

type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

func serve(ctx context.Context, address string, s server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	return s.Serve(ctx, listener)
}

func serveBackends(ctx context.Context, address, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read the list of servers: %w", err)
	}
	var specs []backend.Spec
	if err := json.Unmarshal(data, &specs); err != nil {
		return fmt.Errorf("read the list of servers: %w", err)
	}

	return serve(ctx, address, backend.NewFleet(specs))
}

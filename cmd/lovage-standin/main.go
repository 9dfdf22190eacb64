// Command lovage-standin runs stand-ins for the systems that surround the entries
// of one region: the platform, the balancer, and the workers with their
// endpoints.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 after a failure, 2 for wrong flags
// or settings.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/samber/do/v2"

	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/standin/deployment"
)

const program = "lovage-standin"

func main() {
	os.Exit(command.Exit(program, run(os.Args[1:])))
}

func run(args []string) error {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	config := flags.String("config", "", "settings `file`, in TOML (required; see examples/collections.toml)")
	addresses := flags.String("addresses", "", "`file` to write the listen addresses to, as JSON, once all listeners are open (default: none)")
	publish := flags.Bool("publish", false, "publish the services file as the first version of the configuration")
	version := flags.Bool("version", false, "print the version and exit")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *version {
		fmt.Println(program, command.Version())
		return nil
	}
	settings, err := load(*config)
	if err != nil {
		return err
	}
	return serve(settings, *addresses, *publish)
}

func load(path string) (deployment.Settings, error) {
	if path == "" {
		return deployment.Settings{}, &command.UsageError{What: "-config is missing", Remedy: "name the settings file"}
	}
	settings, err := deployment.Load(path)
	if err != nil {
		return settings, &command.UsageError{What: err.Error(), Remedy: "correct the settings"}
	}
	return settings, nil
}

func serve(settings deployment.Settings, addressesFile string, publish bool) error {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.Provide(injector, provideDeployment)
	d, err := do.Invoke[*deployment.Deployment](injector)
	if _, ok := errors.Into[*tomlcheck.Problems](err); ok {
		return &command.UsageError{What: err.Error(), Remedy: "correct the services file"}
	}
	if err != nil {
		return err
	}
	defer d.Close()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if publish {
		if err := d.PublishServices(ctx); err != nil {
			return err
		}
	}
	if err := announce(d.Addresses(), addressesFile); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func provideDeployment(i do.Injector) (*deployment.Deployment, error) {
	return deployment.Start(do.MustInvoke[deployment.Settings](i))
}

func announce(addresses deployment.Addresses, file string) error {
	line, err := json.Marshal(addresses)
	if err != nil {
		return errors.Wrap(err, "encode the addresses")
	}
	fmt.Fprintln(os.Stderr, program+" listens on", string(line))
	if file == "" {
		return nil
	}
	const permissions = 0o644
	if err := os.WriteFile(file, append(line, '\n'), permissions); err != nil {
		return errors.Wrap(err, "write -addresses")
	}
	return nil
}

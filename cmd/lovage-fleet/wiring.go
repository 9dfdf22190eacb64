package main

import (
	"os"

	"github.com/samber/do/v2"
	"go.uber.org/zap/zapcore"

	"lovagespread.example/fleet"
	"lovagespread.example/fleet/eventlog"
	"lovagespread.example/platform"
)

// newInjector returns an injector that builds the components of the process.
func newInjector(file *platform.File) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, file)
	do.Provide(injector, func(do.Injector) (*eventlog.Log, error) { return eventlog.New(os.Stdout, zapcore.InfoLevel), nil })
	do.Provide(injector, newExecutors)
	do.Provide(injector, newStore)
	do.Provide(injector, newProcess)
	do.Provide(injector, newIngress)
	return injector
}

func newExecutors(i do.Injector) (fleet.EndpointClient, error) {
	return platform.NewExecutors(do.MustInvoke[*eventlog.Log](i).Logger), nil
}

func newStore(i do.Injector) (*platform.Store, error) {
	return platform.NewStore(do.MustInvoke[*platform.File](i).Platform.Address), nil
}

func newProcess(i do.Injector) (*fleet.Process, error) {
	settings := do.MustInvoke[*platform.File](i).Fleet()
	return fleet.New(settings, do.MustInvoke[fleet.EndpointClient](i), do.MustInvoke[*platform.Store](i).Jobs(), do.MustInvoke[*eventlog.Log](i))
}

func newIngress(i do.Injector) (*platform.Ingress, error) {
	process, err := do.Invoke[*fleet.Process](i)
	if err != nil {
		return nil, err
	}
	return platform.NewIngress(process.Service(), do.MustInvoke[*eventlog.Log](i).Logger), nil
}

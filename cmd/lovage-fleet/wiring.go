package main

import (
	"os"

	"github.com/samber/do/v2"
	"go.uber.org/zap/zapcore"

	"lovagespread.example/fleet"
	"lovagespread.example/fleet/eventlog"
	"lovagespread.example/platform"
)

// inject declares how the parts of the process are built.
func inject(file *platform.File) do.Injector {
	i := do.New()
	do.ProvideValue(i, file)
	do.Provide(i, func(do.Injector) (*eventlog.Log, error) { return eventlog.New(os.Stdout, zapcore.InfoLevel), nil })
	do.Provide(i, newExecutors)
	do.Provide(i, newStore)
	do.Provide(i, newProcess)
	do.Provide(i, newIngress)
	return i
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

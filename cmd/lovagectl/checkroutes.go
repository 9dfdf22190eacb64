package main

import (
	"context"

	"lovagespread.example/catalog/configdiff"
	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/entry/configlint"
	"lovagespread.example/logservice"
	"lovagespread.example/platform"
	"lovagespread.example/platform/routelint"
)

// kindRoutes is the kind of a configuration that the operators of the users' platform
// write for lovage-fleet.
const kindRoutes configlint.Kind = "routes"

// checkTexts checks all texts. Those of kind routes are compared with inForce, which
// is nil if unknown.
func checkTexts(texts []configlint.Text, facts configlint.Facts, inForce *routelint.Record) configlint.Result {
	result := configlint.Check(withoutRoutes(texts), facts)
	for _, text := range texts {
		if text.Kind != kindRoutes {
			continue
		}
		found := routelint.Check(text.File, text.Content, inForce)
		result.Problems = append(result.Problems, found.Problems...)
		result.Warnings = append(result.Warnings, found.Warnings...)
		result.Differences = append(result.Differences, found.Differences...)
	}
	configdiff.Sort(result.Differences)
	return result
}

// withoutRoutes returns the texts of other kinds than routes.
func withoutRoutes(texts []configlint.Text) []configlint.Text {
	var others []configlint.Text
	for _, text := range texts {
		if text.Kind != kindRoutes {
			others = append(others, text)
		}
	}
	return others
}

// checkSources rejects flags that name a source of nothing that the files could be
// compared with. The versions in force of the two sources are unrelated.
func (f *checkFlags) checkSources(texts []configlint.Text) error {
	others := len(withoutRoutes(texts))
	switch {
	case f.store != "" && f.url != "":
		return usagef("-store is for routes, and -platform for settings and services files: check them one after the other")
	case f.store != "" && others == len(texts):
		return usagef("-store compares routes, and no file has any: use -platform, or -kind routes")
	case f.url != "" && others == 0:
		return usagef("-platform compares settings and services files: use -store for routes")
	}
	return nil
}

// readRoutes reads the configuration in force from the store of the users' platform.
// It is empty if there is none. A configuration that cannot be decoded, which
// entries ignore, is a problem in the list.
func (f *checkFlags) readRoutes(ctx context.Context) (*routelint.Record, []tomlcheck.Problem, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	records, _, err := platform.NewStore(f.store).Keyed(platform.OperatorTopic).Newest(ctx)
	if err != nil {
		return nil, nil, &logservice.UnavailableError{Operation: "read the configuration in force", Cause: err}
	}
	for _, record := range records {
		if record.Key != platform.ConfigKey || len(record.Value) == 0 {
			continue
		}
		inForce, err := routelint.Decode(record.Value)
		if err != nil {
			problem := routelint.DecodeProblem("the store", record.Value, err)
			problem.What = "the record " + platform.ConfigKey + " cannot be decoded, so entries keep an earlier version: " + problem.What
			problem.Remedy = "write a valid configuration with a higher version than any before"
			return nil, []tomlcheck.Problem{problem}, nil
		}
		return inForce, nil, nil
	}
	return &routelint.Record{}, nil, nil
}

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire/names.json
var namesText []byte

// names are the platform's names that a scenario needs. They stand in a data file, since no Go code
// outside of the adapter and the stand-ins says them.
var names = func() (n struct {
	SettingsVariable string `json:"settings_variable"`
	NotStored        string `json:"not_stored"`
}) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

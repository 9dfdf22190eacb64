package main

import (
	"embed"
	"encoding/json"
)

// wire holds what the platform's pages name: the settings of an entry, the configuration, the
// record of an executor and the names of calls and fields. A test of the project allows such
// names in no Go file outside the adapter and package standin.
//
//go:embed wire
var wire embed.FS

// names holds the names of calls and fields.
var names = readNames()

func readNames() map[string]string {
	var n map[string]string
	if err := json.Unmarshal([]byte(wireText("names.json")), &n); err != nil {
		panic(err)
	}
	return n
}

// wireText returns the text of a file in wire.
func wireText(name string) string {
	data, err := wire.ReadFile("wire/" + name)
	if err != nil {
		panic(err)
	}
	return string(data)
}

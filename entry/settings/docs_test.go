package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"lovagespread.example/catalog"
)

const configurationPage = "../../docs/CONFIGURATION.md"

var tableKey = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")

// documentedKeys returns the keys in the tables between two texts of the page.
func documentedKeys(t *testing.T, from, to string) []string {
	t.Helper()
	page, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), from)
	section, _, ended := strings.Cut(section, to)
	if !found || !ended {
		t.Fatalf("no section from %q to %q", from, to)
	}
	var keys []string
	for _, match := range tableKey.FindAllStringSubmatch(section, -1) {
		keys = append(keys, match[1])
	}
	slices.Sort(keys)
	return keys
}

// settingKeys returns the full names of all keys of a settings struct.
func settingKeys(prefix string, typ reflect.Type) []string {
	var keys []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, settingKeys(key+".", field.Type)...)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func TestConfigurationPageListsEverySetting(t *testing.T) {
	got := documentedKeys(t, "## Settings of an entry", "## Services file")
	if want := settingKeys("", reflect.TypeFor[Settings]()); !slices.Equal(got, want) {
		t.Errorf("the page lists %v, the code reads %v", got, want)
	}
}

var knownKeys = regexp.MustCompile(`unknown_key: unknown key: remove it, or use one of (.*)`)

// acceptedKeys returns the keys that catalog.ParseServices accepts in a table.
func acceptedKeys(t *testing.T, table string) []string {
	t.Helper()
	_, err := catalog.ParseServices("services.toml", []byte("[["+table+"]]\nunknown_key = 1\n"))
	match := knownKeys.FindStringSubmatch(err.Error())
	if match == nil {
		t.Fatalf("no list of keys in %v", err)
	}
	keys := strings.Split(match[1], ", ")
	slices.Sort(keys)
	return keys
}

func TestConfigurationPageListsEveryKeyOfTheServicesFile(t *testing.T) {
	services := documentedKeys(t, "| key of `[[service]]`", "| key of `[[team]]`")
	if want := acceptedKeys(t, "service"); !slices.Equal(services, want) {
		t.Errorf("the page lists %v, the code reads %v", services, want)
	}
	teams := documentedKeys(t, "| key of `[[team]]`", "## Publishing a change")
	if want := acceptedKeys(t, "team"); !slices.Equal(teams, want) {
		t.Errorf("the page lists %v, the code reads %v", teams, want)
	}
}

func TestConfigurationPageExampleIsValid(t *testing.T) {
	page, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(page), "```toml\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := catalog.ParseServices("example", []byte(example)); err != nil {
		t.Error(err)
	}
}

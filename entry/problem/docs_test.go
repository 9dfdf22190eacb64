package problem

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"lovagespread.example/client/callerapi"
)

const operationsPage = "../../docs/OPERATIONS.md"

// codeFiles are the files that declare constants of type Code.
var codeFiles = []string{"../../dispatch/ready.go", "../../client/callerapi/callerapi.go"}

// row matches a line of the table of codes: code, status, execution, meaning,
// remedy.
var row = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$")

// declared returns the values of all constants of type Code in a file.
func declared(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Code" {
			return true
		}
		for _, value := range spec.Values {
			code, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			codes = append(codes, code)
		}
		return true
	})
	if len(codes) == 0 {
		t.Fatalf("%s declares no constant of type Code", file)
	}
	return codes
}

func TestOperationsPageListsEveryCodeWithItsStatus(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		got = append(got, match[1]+" "+match[2])
	}
	var want []string
	for _, file := range codeFiles {
		for _, code := range declared(t, file) {
			status := New(callerapi.Code(code), callerapi.Unknown, "").Status
			want = append(want, code+" "+strconv.Itoa(status))
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if want = slices.Compact(want); !slices.Equal(got, want) {
		t.Errorf("the page lists\n%v\nthe code declares\n%v", got, want)
	}
}

// Package tomlcheck reads a TOML text key by key and collects every problem
// with its line, so that an operator sees all of them at once.
//
//	doc := tomlcheck.Parse("entry.toml", text)
//	root := doc.Root()
//	name := root.String("name", tomlcheck.Required)
//	root.RejectUnknown(nil)
//	return doc.Err()
//
// A reader of a key returns the zero value if the key is absent or wrong;
// Document.Err then tells what was wrong. A text with a syntax error reports
// syntax errors only.
package tomlcheck

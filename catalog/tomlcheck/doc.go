// Package tomlcheck reads a TOML text key by key and collects every problem
// with its line, so that an operator sees all of them at once.
//
//	doc := tomlcheck.Parse("entry.toml", text)
//	root := doc.Root()
//	name := root.String("name", tomlcheck.Required)
//	root.RejectUnknown(nil)
//	return doc.Err()
//
// A method that reads a key returns the default value if the key is absent or
// invalid; Document.Err then reports what was invalid. If the text has syntax
// errors, only those are reported.
package tomlcheck

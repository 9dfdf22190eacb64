// Command lovagectl is the operators' tool. It checks settings, services and
// routes files, publishes changes of the configuration and shows the version in
// force.
//
//	lovagectl check entry.toml services.toml
//	lovagectl check -platform http://10.0.0.1:9000 services.toml
//	lovagectl check -store 10.0.0.1:9100 routes.json
//	lovagectl diff -platform http://10.0.0.1:9000 services.toml
//	lovagectl publish -platform http://10.0.0.1:9000 services.toml
//	lovagectl status -platform http://10.0.0.1:9000 -json
//
// Every command accepts -h, which lists its flags with units and defaults, and
// -json, which writes one JSON document to standard output. Errors are written
// to standard error.
//
// # Exit codes
//
//	0  done
//	1  failed for another reason; nothing was changed
//	2  wrong command line
//	3  a file or the resulting configuration has problems; nothing was changed
//	4  rejected: another change on the same version came first
//	5  unknown whether the change is or will be in force
//	6  the platform refused or could not be reached; nothing was changed
//	7  accepted, but not in force at every entry of -entries yet
//	8  check found warnings, but no error
//	9  differs from what is in force (check -platform or -store without warnings, diff -exit-code)
package main

SERVICES={{printf "%q" .Standins.ServicesFile}}
CONTROL={{.Standins.ControlListen}}
BALANCER={{.Standins.BalancerListen}}
PLATFORM={{.Platform}}
DOMAINS=({{range .Standins.FailureDomains}}{{.}} {{end}})
ENTRIES=({{range .Entries}}{{.Name}} {{end}})
CALLERS=({{range .Entries}}{{.Caller}} {{end}})
ADMINS=({{range .Entries}}{{.Admin}} {{end}})

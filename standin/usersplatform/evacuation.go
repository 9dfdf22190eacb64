package usersplatform

import "github.com/samber/lo"

// evacuationPrefix is the prefix of the keys of the records by which operators
// request the evacuation of a failure domain.
const evacuationPrefix = "evacuate/"

// Domains returns the names of the failure domains.
func (d *Deployment) Domains() []string {
	return lo.Times(d.opts.Domains, domainName)
}

// Evacuate requests the evacuation of a failure domain, in place of the operators.
// Its return is the store's reply.
func (d *Deployment) Evacuate(domain string) {
	d.Store.Put(operatorTopic, evacuationPrefix+domain, []byte("{}"))
}

// Return removes the request to evacuate a failure domain.
func (d *Deployment) Return(domain string) {
	d.Store.Put(operatorTopic, evacuationPrefix+domain, nil)
}

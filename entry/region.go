package entry

import (
	"net/url"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// A route or an account may be limited to regions: its requests are run, and what is kept of
// them is kept and stored, there only. Targets and stores elsewhere are passed over at each
// placing, at first and further tries and for streams that are taken up. What is kept has a scope
// of its own, so that nothing kept of other requests, or from before the limit, is used or moved
// for it. Boxes are limited by nothing: they pass a request on and keep none of it. A domain
// whose region no box tells is in none that is allowed.

// codeRegion is the refusal's code where no target lies in a region that is allowed.
const codeRegion = "region"

// allowedRegions is where a request may be run, kept and stored.
func allowedRegions(job *deliver.Job) routing.Regions {
	return routing.AllowedRegions(job.Route, job.Account)
}

// inRegions says whether a failure domain lies in one of some regions.
func (t *tables) inRegions(regions routing.Regions, domain string) bool {
	return !regions.Limited() || regions.Allow(t.regions[domain])
}

// refuseRegion refuses a request that may be run nowhere, as far as this box knows; nil if it
// may somewhere.
func (d *Daemon) refuseRegion(t *tables, job *deliver.Job) *refusal.Refusal {
	regions := allowedRegions(job)
	if !regions.Limited() {
		return nil
	}
	for domain := range t.regions {
		if t.inRegions(regions, domain) {
			return nil
		}
	}
	return d.refusePermanently(job, codeRegion, "requests on route %q may be run in %q only, and nothing is there", job.Route.Name, regions)
}

// regionScope separates what is kept of requests that are limited to regions.
func regionScope(regions routing.Regions) string {
	if !regions.Limited() {
		return ""
	}
	return "/in/" + url.QueryEscape(regions.String())
}

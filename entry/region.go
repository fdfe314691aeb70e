package entry

import (
	"net/url"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// A route or a client account may be limited to regions: its requests run, and their prompt
// parts are cached, only there. Targets and stores elsewhere are skipped each time a request is
// placed, for first attempts, retries and resumed streams. Such parts have a cache scope of
// their own, so that no parts of other requests, or from before the limit, are used or
// transferred for them. Boxes are not limited: they pass a request on and keep none of it. A
// domain whose region no box reports is in no allowed region.

// codeRegion is the refusal's code when no target lies in an allowed region.
const codeRegion = "region"

// allowedRegions are those in which a request may run and its parts may be cached.
func allowedRegions(job *deliver.Job) routing.Regions {
	return routing.AllowedRegions(job.Route, job.Account)
}

// inRegions reports whether a failure domain lies in one of the regions.
func (t *tables) inRegions(regions routing.Regions, domain string) bool {
	return !regions.Limited() || regions.Allow(t.regions[domain])
}

// refuseRegion refuses a request for which this box knows no domain in an allowed region; nil
// if there is one.
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

// regionScope is the cache scope that separates the parts of requests limited to regions.
func regionScope(regions routing.Regions) string {
	if !regions.Limited() {
		return ""
	}
	return "/in/" + url.QueryEscape(regions.String())
}

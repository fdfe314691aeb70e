// Package limit divides an account's concurrency limit over the boxes, so that together
// they keep to it without a call per request.
//
//	n := limit.Share(32, 7, own, others)
package limit

// Share returns how many of limit requests this box may have in flight. Each box keeps a
// floor of half an equal share; the rest follows demand, which is the requests that a box
// has in flight or has recently refused. While the demand of the others is unknown it is
// an equal share. It is at least 1.
func Share(limit, boxes, own int, others []int) int {
	if boxes <= 1 {
		return max(limit, 1)
	}
	equal := float64(limit) / float64(boxes)
	if len(others) == 0 {
		return max(1, int(equal))
	}
	sum := own
	for _, n := range others {
		sum += n
	}
	if sum == 0 {
		return max(1, int(equal))
	}
	floor := equal / 2
	// Boxes without reported demand may use their equal share.
	unheard := float64(max(boxes-1-len(others), 0)) * equal
	shared := float64(limit) - floor*float64(1+len(others)) - unheard
	return max(1, int(floor+max(shared, 0)*float64(own)/float64(sum)))
}

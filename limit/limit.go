// Package limit divides an account's limit over the boxes, so that together
// they keep it without asking each other for each request.
//
//	n := limit.Share(32, 7, mine, theirs)
package limit

// Share returns how many of limit requests this box may have under way. Each
// box keeps a floor of half an equal part; the rest follows demand, the
// requests that each box has under way or has lately refused. With the others'
// demand unknown it is an equal part. It is at least 1.
func Share(limit, boxes, mine int, theirs []int) int {
	if boxes <= 1 {
		return max(limit, 1)
	}
	equal := float64(limit) / float64(boxes)
	if len(theirs) == 0 {
		return max(1, int(equal))
	}
	sum := mine
	for _, n := range theirs {
		sum += n
	}
	if sum == 0 {
		return max(1, int(equal))
	}
	floor := equal / 2
	// Boxes that were not heard of may use their equal part.
	unheard := float64(max(boxes-1-len(theirs), 0)) * equal
	shared := float64(limit) - floor*float64(1+len(theirs)) - unheard
	return max(1, int(floor+max(shared, 0)*float64(mine)/float64(sum)))
}

package quota

import "slices"

// zoneDemand is what one zone holds and wants of one component of a limit.
type zoneDemand struct {
	held  int64
	want  int64
	alive bool // A zone that is not alive keeps exactly what it holds.
}

// fairShare returns the max-min fair share of zone self in the limit, which is at most what it wants.
func fairShare(limit int64, zones []zoneDemand, self int) int64 {
	remaining := limit
	wants := make([]int64, 0, len(zones))
	for _, z := range zones {
		if !z.alive {
			remaining -= z.held
			continue
		}
		wants = append(wants, z.want)
	}
	slices.Sort(wants)
	for i, want := range wants {
		equalShare := max(remaining, 0) / int64(len(wants)-i)
		if want > equalShare {
			return min(zones[self].want, equalShare)
		}
		remaining -= want
	}
	return zones[self].want
}

// allotmentChange returns by how much to change the allotment of zone self in one component.
func allotmentChange(limit int64, zones []zoneDemand, self int, reserved int64) int64 {
	sum, unmet := int64(0), int64(0)
	for i, z := range zones {
		sum += z.held
		if i != self && z.alive {
			unmet += max(z.want-z.held, 0)
		}
	}
	own := zones[self]
	free := limit - sum
	fair := fairShare(limit, zones, self)
	surplus := max(own.held-max(fair, reserved), 0)
	switch {
	case free < 0:
		return -min(max(own.held-reserved, 0), -free)
	case own.held < fair:
		return min(fair-own.held+headroom(own.want, unmet), free)
	case unmet > free:
		return -min(surplus, unmet-free)
	case unmet == 0:
		return max(min(idleAllotment(limit, zones)-own.held, free), 0)
	}
	return 0
}

// idleAllotment returns what a zone keeps without demand, so that it can start work while the store is
// unreachable.
func idleAllotment(limit int64, zones []zoneDemand) int64 {
	alive := int64(0)
	for _, z := range zones {
		if z.alive {
			alive++
		}
	}
	return limit / (alive * idleDivisor)
}

// headroom returns what a zone takes beyond its want, which is nothing while another zone has unmet demand.
func headroom(want, unmet int64) int64 {
	if unmet > 0 {
		return 0
	}
	return want / headroomDivisor
}

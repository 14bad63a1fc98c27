package quota

import "slices"

// claimant is one zone's part in the division of one component of a limit.
type claimant struct {
	held  int64
	want  int64
	alive bool // A zone that is not keeps exactly what it holds.
}

// divide returns the max-min fair part of claimant self in a limit, no more than it wants.
func divide(limit int64, claimants []claimant, self int) int64 {
	left := limit
	wants := make([]int64, 0, len(claimants))
	for _, c := range claimants {
		if !c.alive {
			left -= c.held
			continue
		}
		wants = append(wants, c.want)
	}
	slices.Sort(wants)
	for i, want := range wants {
		level := max(left, 0) / int64(len(wants)-i)
		if want > level {
			return min(claimants[self].want, level)
		}
		left -= want
	}
	return claimants[self].want
}

// move is the change of one zone's allotment of one component.
func move(limit int64, claimants []claimant, self int, reserved int64) int64 {
	sum, unmet := int64(0), int64(0)
	for i, c := range claimants {
		sum += c.held
		if i != self && c.alive {
			unmet += max(c.want-c.held, 0)
		}
	}
	own := claimants[self]
	free := limit - sum
	fair := divide(limit, claimants, self)
	surplus := max(own.held-max(fair, reserved), 0)
	switch {
	case free < 0:
		return -min(max(own.held-reserved, 0), -free)
	case own.held < fair:
		return min(fair-own.held+headroom(own.want, unmet), free)
	case unmet > free:
		return -min(surplus, unmet-free)
	case unmet == 0:
		return max(min(floor(limit, claimants)-own.held, free), 0)
	}
	return 0
}

// floor is what a zone keeps without a want, so that it can start work while the store is away.
func floor(limit int64, claimants []claimant) int64 {
	alive := int64(0)
	for _, c := range claimants {
		if c.alive {
			alive++
		}
	}
	return limit / (alive * floorFraction)
}

// headroom is what a zone takes beyond its want while no other zone lacks anything.
func headroom(want, unmet int64) int64 {
	if unmet > 0 {
		return 0
	}
	return want / headroomFraction
}

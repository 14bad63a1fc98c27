package policy

import (
	"cmp"
	"iter"
	"slices"

	"github.com/google/btree"

	"cyclamendyke"
)

const (
	treeDegree      = 16
	extraRackVisits = 16 // Spread searches at most this many racks plus two for each rack that has a task of the job.
)

// Candidate is the index's entry of one worker that may be given tasks.
type Candidate struct {
	Name        cyclamendyke.WorkerName
	Rack        string
	Free        cyclamendyke.Resources
	Reclaimable cyclamendyke.Resources // Free plus what preemption would free.
}

// Index finds the workers of one pool by their free resources without scanning all of them.
type Index struct {
	shape       cyclamendyke.Resources
	free        [dimensions]*btree.BTreeG[*Candidate]
	reclaimable [dimensions]*btree.BTreeG[*Candidate]
	byName      *btree.BTreeG[*Candidate]
	racks       map[string]*rack
	racksByFree *btree.BTreeG[*rack]
}

type rack struct {
	name       string
	freeCores  cyclamendyke.MilliCores
	candidates []*Candidate
}

type dimension int

const (
	dimensionCores dimension = iota
	dimensionMemory
	dimensionAccelerators
	dimensions
)

func (d dimension) of(r cyclamendyke.Resources) int64 {
	switch d {
	case dimensionCores:
		return int64(r.Cores)
	case dimensionMemory:
		return int64(r.Memory)
	default:
		return r.Accelerators
	}
}

// NewIndex returns an empty index for VMs of the given shape.
func NewIndex(shape cyclamendyke.Resources) *Index {
	index := &Index{
		shape:       shape,
		byName:      btree.NewG(treeDegree, nameLess),
		racks:       make(map[string]*rack),
		racksByFree: btree.NewG(treeDegree, rackLess),
	}
	for d := range dimensions {
		index.free[d] = btree.NewG(treeDegree, func(a, b *Candidate) bool {
			return cmp.Or(cmp.Compare(d.of(a.Free), d.of(b.Free)), cmp.Compare(a.Name, b.Name)) < 0
		})
		index.reclaimable[d] = btree.NewG(treeDegree, func(a, b *Candidate) bool {
			return cmp.Or(cmp.Compare(d.of(a.Reclaimable), d.of(b.Reclaimable)), cmp.Compare(a.Name, b.Name)) < 0
		})
	}
	return index
}

// Len returns the number of candidates.
func (x *Index) Len() int {
	return x.byName.Len()
}

// Add inserts a candidate.
func (x *Index) Add(c *Candidate) {
	x.byName.ReplaceOrInsert(c)
	x.insert(c)
	x.addToRack(c)
}

// Remove deletes a candidate.
func (x *Index) Remove(c *Candidate) {
	x.byName.Delete(c)
	x.delete(c)
	x.removeFromRack(c)
}

// Update changes the free and reclaimable resources of a candidate.
func (x *Index) Update(c *Candidate, free, reclaimable cyclamendyke.Resources) {
	x.delete(c)
	r := x.racks[c.Rack]
	x.racksByFree.Delete(r)
	r.freeCores += free.Cores - c.Free.Cores
	c.Free = free
	c.Reclaimable = reclaimable
	x.racksByFree.ReplaceOrInsert(r)
	x.insert(c)
}

// BestFit returns the accepted candidate with room for need that has the least free in need's dominant
// dimension.
func (x *Index) BestFit(need cyclamendyke.Resources, accept func(*Candidate) bool) *Candidate {
	var best *Candidate
	x.free[x.dominantDimension(need)].AscendGreaterOrEqual(&Candidate{Free: need}, func(c *Candidate) bool {
		if need.FitsIn(c.Free) && accept(c) {
			best = c
		}
		return best == nil
	})
	return best
}

// FirstFit returns the first accepted candidate by name that has room for need.
func (x *Index) FirstFit(need cyclamendyke.Resources, accept func(*Candidate) bool) *Candidate {
	var first *Candidate
	x.byName.Ascend(func(c *Candidate) bool {
		if need.FitsIn(c.Free) && accept(c) {
			first = c
		}
		return first == nil
	})
	return first
}

// Spread returns a candidate in the rack with the fewest tasks of the job and, among those, the most free
// cores; it searches a limited number of racks.
func (x *Index) Spread(need cyclamendyke.Resources, tasksByRack map[string]int, accept func(*Candidate) bool) *Candidate {
	var best *Candidate
	fewestTasks := 0
	visits := 2*len(tasksByRack) + extraRackVisits
	x.racksByFree.Ascend(func(r *rack) bool {
		visits--
		tasks := tasksByRack[r.name]
		if best == nil || tasks < fewestTasks {
			if found := r.mostFree(need, accept); found != nil {
				best, fewestTasks = found, tasks
			}
		}
		return visits > 0 && (best == nil || fewestTasks > 0)
	})
	if best == nil {
		return x.BestFit(need, accept)
	}
	return best
}

// MostFree returns the candidate with the most free in need's dominant dimension, or nil; it scans all
// candidates, and need may not fit.
func (x *Index) MostFree(need cyclamendyke.Resources) *Candidate {
	var best *Candidate
	d := x.dominantDimension(need)
	for c := range x.All() {
		if best == nil || d.of(c.Free) > d.of(best.Free) {
			best = c
		}
	}
	return best
}

// All yields the candidates in order of name; the index must not change during the iteration.
func (x *Index) All() iter.Seq[*Candidate] {
	return func(yield func(*Candidate) bool) {
		x.byName.Ascend(yield)
	}
}

// VisitReclaimable calls visit for the candidates on which need would fit after preemption, best fit first, until
// visit returns false.
func (x *Index) VisitReclaimable(need cyclamendyke.Resources, visit func(*Candidate) bool) {
	x.reclaimable[x.dominantDimension(need)].AscendGreaterOrEqual(&Candidate{Reclaimable: need}, func(c *Candidate) bool {
		return !need.FitsIn(c.Reclaimable) || visit(c)
	})
}

// dominantDimension returns the dimension in which need is the largest fraction of the VM shape.
func (x *Index) dominantDimension(need cyclamendyke.Resources) dimension {
	dominant, share := dimensionCores, 0.0
	for d := range dimensions {
		total := d.of(x.shape)
		if total <= 0 {
			continue
		}
		if fraction := float64(d.of(need)) / float64(total); fraction > share {
			dominant, share = d, fraction
		}
	}
	return dominant
}

// insert leaves workers without a free slot out of the trees of free resources, since no task fits there.
func (x *Index) insert(c *Candidate) {
	full := x.shape.Slots > 0 && c.Free.Slots <= 0
	for d := range dimensions {
		if !full {
			x.free[d].ReplaceOrInsert(c)
		}
		x.reclaimable[d].ReplaceOrInsert(c)
	}
}

func (x *Index) delete(c *Candidate) {
	for d := range dimensions {
		x.free[d].Delete(c)
		x.reclaimable[d].Delete(c)
	}
}

func (x *Index) addToRack(c *Candidate) {
	r := x.racks[c.Rack]
	if r == nil {
		r = &rack{name: c.Rack}
		x.racks[c.Rack] = r
	}
	x.racksByFree.Delete(r)
	r.freeCores += c.Free.Cores
	r.candidates = append(r.candidates, c)
	x.racksByFree.ReplaceOrInsert(r)
}

func (x *Index) removeFromRack(c *Candidate) {
	r := x.racks[c.Rack]
	x.racksByFree.Delete(r)
	r.freeCores -= c.Free.Cores
	r.candidates = slices.DeleteFunc(r.candidates, func(m *Candidate) bool { return m == c })
	if len(r.candidates) == 0 {
		delete(x.racks, c.Rack)
		return
	}
	x.racksByFree.ReplaceOrInsert(r)
}

// mostFree returns the accepted candidate with room for need that has the most free cores.
func (r *rack) mostFree(need cyclamendyke.Resources, accept func(*Candidate) bool) *Candidate {
	var best *Candidate
	for _, c := range r.candidates {
		if !need.FitsIn(c.Free) || !accept(c) {
			continue
		}
		if best == nil || c.Free.Cores > best.Free.Cores {
			best = c
		}
	}
	return best
}

func nameLess(a, b *Candidate) bool {
	return a.Name < b.Name
}

func rackLess(a, b *rack) bool {
	return cmp.Or(cmp.Compare(b.freeCores, a.freeCores), cmp.Compare(a.name, b.name)) < 0
}

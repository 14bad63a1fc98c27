package policy

import (
	"cmp"
	"iter"
	"slices"

	"github.com/google/btree"

	"cyclamendyke"
)

const (
	treeDegree     = 16
	rackVisitsMore = 16 // Racks looked at beyond those that hold a task of the job.
)

// Candidate is a worker that may take work, as the index keeps it.
type Candidate struct {
	Name        cyclamendyke.WorkerName
	Rack        string
	Free        cyclamendyke.Resources
	Reclaimable cyclamendyke.Resources // Free plus what preemption could free.
}

// Index finds the workers of one pool by what they have free, without scanning them.
type Index struct {
	shape       cyclamendyke.Resources
	free        [dimensions]*btree.BTreeG[*Candidate]
	reclaimable [dimensions]*btree.BTreeG[*Candidate]
	byName      *btree.BTreeG[*Candidate]
	racks       map[string]*rack
	byRoom      *btree.BTreeG[*rack]
}

type rack struct {
	name    string
	free    cyclamendyke.MilliCores
	members []*Candidate
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
		shape:  shape,
		byName: btree.NewG(treeDegree, nameLess),
		racks:  make(map[string]*rack),
		byRoom: btree.NewG(treeDegree, rackLess),
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

// Add puts a candidate in.
func (x *Index) Add(c *Candidate) {
	x.byName.ReplaceOrInsert(c)
	x.insert(c)
	x.addToRack(c)
}

// Remove takes a candidate out.
func (x *Index) Remove(c *Candidate) {
	x.byName.Delete(c)
	x.delete(c)
	x.removeFromRack(c)
}

// Update changes what a candidate has free.
func (x *Index) Update(c *Candidate, free, reclaimable cyclamendyke.Resources) {
	x.delete(c)
	group := x.racks[c.Rack]
	x.byRoom.Delete(group)
	group.free += free.Cores - c.Free.Cores
	c.Free = free
	c.Reclaimable = reclaimable
	x.byRoom.ReplaceOrInsert(group)
	x.insert(c)
}

// BestFit returns the accepted candidate with the least room to spare in the dimension that need takes most of.
func (x *Index) BestFit(need cyclamendyke.Resources, accept func(*Candidate) bool) *Candidate {
	var best *Candidate
	x.free[x.dominant(need)].AscendGreaterOrEqual(&Candidate{Free: need}, func(c *Candidate) bool {
		if need.FitsIn(c.Free) && accept(c) {
			best = c
		}
		return best == nil
	})
	return best
}

// FirstFit returns the first accepted candidate in order of name with room for need.
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

// Spread returns a candidate in the rack that holds fewest tasks of the job, then has most cores free; placed counts the job's tasks by rack.
func (x *Index) Spread(need cyclamendyke.Resources, placed map[string]int, accept func(*Candidate) bool) *Candidate {
	var best *Candidate
	fewest := 0
	visits := 2*len(placed) + rackVisitsMore
	x.byRoom.Ascend(func(group *rack) bool {
		visits--
		held := placed[group.name]
		if best == nil || held < fewest {
			if found := group.roomiest(need, accept); found != nil {
				best, fewest = found, held
			}
		}
		return visits > 0 && (best == nil || fewest > 0)
	})
	if best == nil {
		return x.BestFit(need, accept)
	}
	return best
}

// Roomiest returns the candidate with most free in the dimension that need takes most of; unlike the searches for room it looks at each.
func (x *Index) Roomiest(need cyclamendyke.Resources) *Candidate {
	var most *Candidate
	d := x.dominant(need)
	for c := range x.All() {
		if most == nil || d.of(c.Free) > d.of(most.Free) {
			most = c
		}
	}
	return most
}

// All yields the candidates in order of name; the index must not be changed meanwhile.
func (x *Index) All() iter.Seq[*Candidate] {
	return func(yield func(*Candidate) bool) {
		x.byName.Ascend(yield)
	}
}

// Reclaim calls visit for the candidates on which need would fit after preemption, best fit first, until it returns false.
func (x *Index) Reclaim(need cyclamendyke.Resources, visit func(*Candidate) bool) {
	x.reclaimable[x.dominant(need)].AscendGreaterOrEqual(&Candidate{Reclaimable: need}, func(c *Candidate) bool {
		return !need.FitsIn(c.Reclaimable) || visit(c)
	})
}

func (x *Index) dominant(need cyclamendyke.Resources) dimension {
	most, share := dimensionCores, 0.0
	for d := range dimensions {
		total := d.of(x.shape)
		if total <= 0 {
			continue
		}
		if part := float64(d.of(need)) / float64(total); part > share {
			most, share = d, part
		}
	}
	return most
}

// insert leaves workers without a free slot out of the search for room, whatever else they have free.
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
	group := x.racks[c.Rack]
	if group == nil {
		group = &rack{name: c.Rack}
		x.racks[c.Rack] = group
	}
	x.byRoom.Delete(group)
	group.free += c.Free.Cores
	group.members = append(group.members, c)
	x.byRoom.ReplaceOrInsert(group)
}

func (x *Index) removeFromRack(c *Candidate) {
	group := x.racks[c.Rack]
	x.byRoom.Delete(group)
	group.free -= c.Free.Cores
	group.members = slices.DeleteFunc(group.members, func(m *Candidate) bool { return m == c })
	if len(group.members) == 0 {
		delete(x.racks, c.Rack)
		return
	}
	x.byRoom.ReplaceOrInsert(group)
}

func (r *rack) roomiest(need cyclamendyke.Resources, accept func(*Candidate) bool) *Candidate {
	var most *Candidate
	for _, c := range r.members {
		if !need.FitsIn(c.Free) || !accept(c) {
			continue
		}
		if most == nil || c.Free.Cores > most.Free.Cores {
			most = c
		}
	}
	return most
}

func nameLess(a, b *Candidate) bool {
	return a.Name < b.Name
}

func rackLess(a, b *rack) bool {
	return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.name, b.name)) < 0
}

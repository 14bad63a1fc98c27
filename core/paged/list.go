package paged

import "iter"

// pageSize is the number of elements of a page.
const pageSize = 64

// List is a list of a fixed length whose elements take memory by the page, from the first use of one of a page's elements on.
type List[T any] struct {
	pages  [][]T // Nil for pages without memory.
	length int
}

// NewList returns a list of zero values.
func NewList[T any](length int) List[T] {
	return List[T]{length: length}
}

// At returns an element, to be read or changed.
func (l *List[T]) At(i int) *T {
	if l.pages == nil {
		l.pages = make([][]T, (l.length+pageSize-1)/pageSize)
	}
	page := i / pageSize
	if l.pages[page] == nil {
		l.pages[page] = make([]T, min(pageSize, l.length-page*pageSize))
	}
	return &l.pages[page][i%pageSize]
}

// Peek returns an element to be read, or nil if its page takes no memory, so that it has its zero value.
func (l *List[T]) Peek(i int) *T {
	if l.pages == nil || l.pages[i/pageSize] == nil {
		return nil
	}
	return &l.pages[i/pageSize][i%pageSize]
}

// All iterates over the elements whose pages take memory, with their indexes, in ascending order.
func (l *List[T]) All() iter.Seq2[int, *T] {
	return func(yield func(int, *T) bool) {
		for p, page := range l.pages {
			for i := range page {
				if !yield(p*pageSize+i, &page[i]) {
					return
				}
			}
		}
	}
}

// Free gives up the page of an element, and with it the values of all its elements, if none of them is in use.
func (l *List[T]) Free(i int, isInUse func(i int, element *T) bool) {
	page := i / pageSize
	if l.pages == nil || l.pages[page] == nil {
		return
	}
	for k := range l.pages[page] {
		if isInUse(page*pageSize+k, &l.pages[page][k]) {
			return
		}
	}
	l.pages[page] = nil
}

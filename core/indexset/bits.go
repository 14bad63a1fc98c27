package indexset

import (
	"encoding/binary"
	"iter"
	"math/bits"
)

// wordBits is the number of integers in one word of Bits.
const wordBits = 64

// Bits is a set of integers from zero up to a fixed size, each of which takes one bit.
type Bits struct {
	words []uint64
	size  int
	count int
}

// NewBits returns an empty set of integers below size.
func NewBits(size int) Bits {
	return Bits{words: make([]uint64, (size+wordBits-1)/wordBits), size: size}
}

// FullBits returns the set of all integers below size.
func FullBits(size int) Bits {
	b := NewBits(size)
	for i := range b.words {
		b.words[i] = ^uint64(0)
	}
	if rest := size % wordBits; rest != 0 {
		b.words[len(b.words)-1] = 1<<rest - 1
	}
	b.count = size
	return b
}

// Has reports whether the set has an integer; it has none that are negative or too large.
func (b *Bits) Has(i int) bool {
	return i >= 0 && i < b.size && b.words[i/wordBits]>>(i%wordBits)&1 == 1
}

// Add adds an integer, and reports whether it was missing; it adds none that are negative or too large.
func (b *Bits) Add(i int) bool {
	if i < 0 || i >= b.size || b.Has(i) {
		return false
	}
	b.words[i/wordBits] |= 1 << (i % wordBits)
	b.count++
	return true
}

// Remove removes an integer, and reports whether it was there.
func (b *Bits) Remove(i int) bool {
	if !b.Has(i) {
		return false
	}
	b.words[i/wordBits] &^= 1 << (i % wordBits)
	b.count--
	return true
}

// Count returns the number of integers in the set.
func (b *Bits) Count() int { return b.count }

// Size returns the size that the set was made for.
func (b *Bits) Size() int { return b.size }

// IsFull reports whether the set has all integers below its size.
func (b *Bits) IsFull() bool { return b.count == b.size }

// All iterates over the integers in ascending order. The one that was returned last may be removed meanwhile.
func (b *Bits) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for w := range b.words {
			for word := b.words[w]; word != 0; word &= word - 1 {
				if !yield(w*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// Bytes encodes the set, for AddBytes of a set of any size that has room for it.
func (b *Bits) Bytes() []byte {
	out := make([]byte, 0, len(b.words)*wordBits/8)
	for _, word := range b.words {
		out = binary.LittleEndian.AppendUint64(out, word)
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// AddBytes adds the integers of a set that Bytes has encoded, but for those that are too large.
func (b *Bits) AddBytes(encoded []byte) {
	for i, octet := range encoded {
		for ; octet != 0; octet &= octet - 1 {
			b.Add(8*i + bits.TrailingZeros8(octet))
		}
	}
}

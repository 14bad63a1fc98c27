package journal_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/journal"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// term is an opened writer with the versions that it loaded, by request.
type term struct {
	writer *journal.Writer
	loaded map[cyclamendyke.RequestID]int
}

// history collects the results of all terms; the writers' goroutines report them concurrently.
type history struct {
	is              *is.I
	mu              sync.Mutex
	terms           []*term
	highestKept     map[cyclamendyke.RequestID]int          // Highest version reported as kept.
	refusedVersions map[cyclamendyke.RequestID]map[int]bool // Versions reported as refused.
}

// recordResult stores a result. If a version was kept, every later term must have loaded it or a newer one.
func (h *history) recordResult(termIndex int, request cyclamendyke.RequestID, version int, result cyclamendyke.PersistResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch result {
	case cyclamendyke.PersistKept:
		h.highestKept[request] = max(h.highestKept[request], version)
		for _, later := range h.terms[termIndex+1:] {
			h.is.True(later.loaded[request] >= version)
		}
	case cyclamendyke.PersistRefused:
		if h.refusedVersions[request] == nil {
			h.refusedVersions[request] = map[int]bool{}
		}
		h.refusedVersions[request][version] = true
	}
}

// addTerm adds a term and checks the loaded versions against the results that earlier terms reported.
func (h *history) addTerm(writer *journal.Writer, loaded map[cyclamendyke.RequestID]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for request, version := range h.highestKept {
		h.is.True(loaded[request] >= version)
	}
	for request, version := range loaded {
		h.is.True(!h.refusedVersions[request][version])
	}
	h.terms = append(h.terms, &term{writer: writer, loaded: loaded})
}

// TestOverlappingTerms opens successive terms under store faults while fenced writers continue to write.
func TestOverlappingTerms(t *testing.T) {
	seeds := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 183} // With seed 183 a late write was once lost because a newer term had overtaken it.
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 2))
				service := kv.New(kv.Config{})
				h := &history{is: is, highestKept: map[cyclamendyke.RequestID]int{}, refusedVersions: map[cyclamendyke.RequestID]map[int]bool{}}
				lastVersion := 0
				var requests []string
				openTerm := func() error {
					owner := fmt.Sprint(len(h.terms))
					writer, loaded, err := openJournal(t, service.As(owner), uint64(len(h.terms)+1), owner)
					if err == nil {
						h.addTerm(writer, loaded)
					}
					return err
				}
				is.NoErr(openTerm())
				for range 300 {
					switch pick := random.IntN(100); {
					case pick < 2:
						_ = openTerm() // May fail under a fault.
					case pick < 6:
						service.SetFaults(kv.Faults{})
					case pick < 8:
						service.SetFaults(kv.Faults{Down: true})
					case pick < 10:
						service.SetFaults(kv.Faults{Silent: true})
					case pick < 12:
						service.SetFaults(kv.Faults{LoseAnswers: random.IntN(6)})
					case pick < 14:
						late := standin.Duration(random.IntN(8000)) * standin.Duration(time.Millisecond)
						service.SetFaults(kv.Faults{LateWrites: 1 + random.IntN(4), LateBy: late})
					default:
						termIndex := len(h.terms) - 1 - min(random.IntN(8), len(h.terms)-1)*random.IntN(2)
						request := fmt.Sprintf("z1-%d", random.IntN(len(requests)+1))
						requests = append(requests, request)
						lastVersion++
						version := lastVersion
						h.terms[termIndex].writer.Persist(newRecord(request, version, 1000), func(result cyclamendyke.PersistResult) {
							h.recordResult(termIndex, cyclamendyke.RequestID(request), version, result)
						})
					}
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
					synctest.Wait()
				}
				service.SetFaults(kv.Faults{})
				time.Sleep(time.Minute)
				is.NoErr(openTerm())
				for _, term := range h.terms {
					closeNow(term.writer)
				}
			})
		})
	}
}

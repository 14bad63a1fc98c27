package node

import (
	"context"
	"testing"

	"cyclamendyke"
)

// testZone is the zone of the members of newZoneCluster and of one of its targets.
const testZone cyclamendyke.ZoneName = "a"

// newZoneCluster returns a cluster with members and a target in testZone, which work goes to first, and
// another target elsewhere.
func newZoneCluster(t *testing.T) (*testCluster, *zoneTargets) {
	c := newTestCluster(t)
	c.zone = testZone
	c.put("targets/a-1", cyclamendyke.Target{ID: "a-1", Service: "s", Address: "x", Zone: testZone, Capacity: cyclamendyke.Resources{Cores: 16000}})
	return c, &zoneTargets{fakeTarget: c.target, started: map[cyclamendyke.ZoneName]int{}}
}

func (c *testCluster) evacuate() {
	c.put(evacuationKey(testZone), struct{}{})
}

func (c *testCluster) takeBack() {
	store := c.store.As("operator")
	entry, err := store.Get(context.Background(), evacuationKey(testZone))
	if err == nil {
		err = store.Delete(context.Background(), entry.Key, entry.Revision)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

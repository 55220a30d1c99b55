package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/fleet"
)

func TestFleetOrdersSurviveSnapshot(t *testing.T) {
	s := NewState()
	apply := func(c FleetOrders) { s.Apply(1, encode(Command{Fleet: &c})) }
	apply(FleetOrders{Service: "engines", Base: []fleet.HallCount{{DataHall: "north", Count: 4}, {DataHall: "south", Count: 6}}})
	spot := fleet.Order{Service: "engines", DataHall: "north", Kind: fleet.Spot, Count: 4}
	apply(FleetOrders{Service: "engines", Orders: []fleet.Order{spot}, Load: &fleet.Load{Requests: 3}})
	spot.Count = 5
	apply(FleetOrders{Service: "engines", Orders: []fleet.Order{spot}})

	restored := NewState()
	require.NoError(t, restored.Restore(s.Snapshot()))
	r, known := restored.fleetRecord("engines")
	require.True(t, known)
	require.Equal(t, fleet.Counts{{DataHall: "north"}: 4, {DataHall: "south"}: 6, {DataHall: "north", Kind: fleet.Spot}: 5}, r.Ordered())
	require.Equal(t, fleet.Counts{{DataHall: "north", Kind: fleet.Spot}: 5}, r.OrderCounts())
	require.Equal(t, &fleet.Load{Requests: 3}, r.Load)
	require.True(t, r.NoOnDemandOrders())
}

package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

func targetList(n int) []bundle.Target {
	var ts []bundle.Target
	for i := range n {
		ts = append(ts, bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("e%d", i)), DataHall: walnutramp.DataHall(fmt.Sprintf("h%d", i%14)),
			Kind: bundle.KindEngine, Models: []walnutramp.ModelName{"m"}, Slots: 16,
		})
	}
	return ts
}

func TestSubsetContainsAllOfFewTargets(t *testing.T) {
	require.Len(t, Subset("n", "h0", targetList(36), 48), 36)
}

func TestSubsetsAreBoundedStableAndCoverEveryTarget(t *testing.T) {
	targets := targetList(2000)
	uses := map[walnutramp.TargetName]int{}
	for i := range 440 {
		node := walnutramp.NodeName(fmt.Sprintf("n%d", i))
		s := Subset(node, walnutramp.DataHall(fmt.Sprintf("h%d", i%14)), targets, 48)
		require.Len(t, s, 48)
		require.Equal(t, s, Subset(node, walnutramp.DataHall(fmt.Sprintf("h%d", i%14)), targets, 48))
		for _, target := range s {
			uses[target.Name]++
		}
	}
	require.Len(t, uses, 2000, "every target is used by some node")
}

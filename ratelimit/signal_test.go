package ratelimit

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseSignal(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Signal
		rate   float64
	}{
		{"none", nil, Signal{}, Unlimited},
		{"decimal", []string{" 2.5 "}, Signal{Published: true, PerSecond: 2.5}, 2.5},
		{"zero", []string{"0"}, Signal{Published: true}, 0},
		{"huge", []string{"1e300"}, Signal{Published: true, PerSecond: 1e300}, Unlimited},
		{"two values", []string{"7", "3"}, Signal{Published: true, PerSecond: 3}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ParseSignal(c.values)
			require.Equal(t, c.want, got)
			require.Equal(t, c.rate, got.Rate())
		})
	}
	for _, text := range []string{"", " ", "soon", "-1", "NaN", "Inf", "-Inf", "1e999", "2,3", "1 2"} {
		t.Run("invalid "+text, func(t *testing.T) {
			require.Equal(t, Signal{Published: true, Invalid: text}, ParseSignal([]string{text}))
		})
	}
	require.Equal(t, Signal{Published: true, Invalid: "3, soon"}, ParseSignal([]string{"3", "soon"}))
	require.Len(t, ParseSignal([]string{strings.Repeat("x", 1000)}).Invalid, maxInvalidText)
}

func FuzzParseSignal(f *testing.F) {
	for _, value := range []string{"3", "0.5", "1e300", "-1", "NaN", "soon", ""} {
		f.Add(value, value)
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		s := ParseSignal([]string{a, b})
		require.LessOrEqual(t, len(s.Invalid), maxInvalidText)
		if s.Invalid == "" && (a != "" || b != "") {
			require.GreaterOrEqual(t, s.Rate(), 0.0)
			require.False(t, math.IsNaN(s.Rate()))
		}
	})
}

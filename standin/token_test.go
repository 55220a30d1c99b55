package standin

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

const testPrompt = "Harbour log, page 7."

// generate returns the texts and IDs of n output tokens after the given tokens.
func generate(preceding []walnutramp.TokenID, nonce, n int) (texts []string, ids []walnutramp.TokenID) {
	c := newChain(preceding)
	for range n {
		id := c.nextToken(nonce)
		c = c.extend(id)
		texts = append(texts, outputText(id))
		ids = append(ids, id)
	}
	return texts, ids
}

func TestCheckAcceptsResumeByTokenIDs(t *testing.T) {
	prompt := Tokenize(testPrompt)
	first, ids := generate(prompt, 11, 20)
	second, _ := generate(append(prompt, ids...), 12, 20)
	v := Check(testPrompt, strings.Join(first, "")+strings.Join(second, ""))
	require.Equal(t, Verdict{Tokens: 40}, v)
}

func TestCheckDetectsEachFault(t *testing.T) {
	prompt := Tokenize(testPrompt)
	a, _ := generate(prompt, 11, 20)
	b, _ := generate(prompt, 12, 20)
	join := func(parts ...[]string) string {
		var all []string
		for _, p := range parts {
			all = append(all, p...)
		}
		return strings.Join(all, "")
	}
	require.NotZero(t, Check(testPrompt, join(a[:7], a[8:])).Missing, "a token left out")
	require.NotZero(t, Check(testPrompt, join(a[:7], a[6:])).Repeated, "a token sent twice")
	require.NotZero(t, Check(testPrompt, join(a[:7], b[7:])).Mixed, "two generations mixed")
	require.NotZero(t, Check("another prompt", join(a)).Mixed, "another request's answer")
	require.NotZero(t, Check(testPrompt, join(a)+" half").Mixed, "half a token")
}

func TestCheckDetectsResumeByText(t *testing.T) {
	prompt := Tokenize(testPrompt)
	first, _ := generate(prompt, 11, 20)
	retokenized := Tokenize(testPrompt + strings.Join(first, ""))
	second, _ := generate(retokenized, 12, 20)
	require.False(t, Check(testPrompt, strings.Join(first, "")+strings.Join(second, "")).OK())
}

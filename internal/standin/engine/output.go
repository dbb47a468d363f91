package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// syllables are combined to form output tokens.
var syllables = [16]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
}

// seedOf returns the hash that determines the output for a model and a prompt.
func seedOf(model, prompt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(prompt)
	return h.Sum64()
}

// ExpectedText returns the text of the output token at index: four syllables and a space.
func ExpectedText(model, prompt string, index int) string {
	return tokenText(seedOf(model, prompt), index)
}

func tokenText(seed uint64, index int) string {
	x := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "." + strconv.Itoa(index))
	b := make([]byte, 0, 9)
	for range 4 {
		b = append(b, syllables[x&15]...)
		x >>= 4
	}
	return string(append(b, ' '))
}

// ExpectedLength returns the number of tokens that a request generates. The output
// finishes with "stop" if it is below maxOutput, else with "length".
func ExpectedLength(model, prompt string, maxOutput int) int {
	return outputLength(seedOf(model, prompt), maxOutput)
}

// outputLength returns maxOutput for one seed in four, and otherwise a length from half
// of maxOutput up to, but not including, maxOutput.
func outputLength(seed uint64, maxOutput int) int {
	if maxOutput <= 1 || seed&3 == 0 {
		return max(1, maxOutput)
	}
	half := maxOutput / 2
	return max(1, half+int((seed>>2)%uint64(maxOutput-half)))
}

func finishReason(length, maxOutput int) string {
	if length < maxOutput {
		return "stop"
	}
	return "length"
}

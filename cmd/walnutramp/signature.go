package main

import (
	"encoding/base64"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/bundle"
)

func encodeSignature(s bundle.Signature) string { return base64.StdEncoding.EncodeToString(s.Bytes) }

// readSignature reads a signature file: the operator's name on the first line and the
// base64-encoded signature on the second.
func readSignature(file string) (bundle.Signature, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return bundle.Signature{}, errors.Wrap(err, "sign the bundle first")
	}
	words := strings.Fields(string(content))
	if len(words) != 2 {
		return bundle.Signature{}, errors.Newf("%s is not a signature file: got %d words, want an operator and a signature", file, len(words))
	}
	raw, err := base64.StdEncoding.DecodeString(words[1])
	return bundle.Signature{Operator: words[0], Bytes: raw}, errors.Wrapf(err, "%s is not a signature file", file)
}

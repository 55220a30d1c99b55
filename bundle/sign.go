package bundle

import (
	"bufio"
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// signContext keeps a bundle's signature from standing for anything else.
const signContext = "walnutramp bundle 1\n"

// Signature is an operator's word for a document.
type Signature struct {
	Operator string `json:"operator"`
	Bytes    []byte `json:"bytes"`
}

// Operators are the public keys that may sign, by operator's name.
type Operators map[string]ed25519.PublicKey

// NewOperatorKey returns a fresh key pair, each in the form that key files
// hold.
func NewOperatorKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", err
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// Sign signs a document with an operator's private key as NewOperatorKey
// gives it.
func Sign(doc []byte, operator, private string) (Signature, error) {
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(private))
	if err != nil || len(seed) != ed25519.SeedSize {
		return Signature{}, errors.New("not a private key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	return Signature{Operator: operator, Bytes: ed25519.Sign(key, signed(doc))}, nil
}

func signed(doc []byte) []byte { return append([]byte(signContext), doc...) }

// Verify checks a signature against the known operators.
func (ops Operators) Verify(doc []byte, s Signature) error {
	key, ok := ops[s.Operator]
	if !ok {
		return errors.Newf("operator %q is not known", s.Operator)
	}
	if !ed25519.Verify(key, signed(doc), s.Bytes) {
		return errors.Newf("the signature is not operator %q's for this document", s.Operator)
	}
	return nil
}

// ParseOperators reads a file of public keys: on each line a name and a key.
func ParseOperators(file []byte) (Operators, error) {
	ops := Operators{}
	lines := bufio.NewScanner(bytes.NewReader(file))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if len(words) != 2 {
			return nil, fmt.Errorf("line %d: want a name and a public key", n)
		}
		key, err := base64.StdEncoding.DecodeString(words[1])
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("line %d: not a public key", n)
		}
		ops[words[0]] = key
	}
	return ops, lines.Err()
}

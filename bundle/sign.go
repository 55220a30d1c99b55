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

// signatureContext is the domain separation prefix of bundle signatures.
const signatureContext = "walnutramp bundle 1\n"

// Signature is an operator's Ed25519 signature of a document.
type Signature struct {
	Operator string `json:"operator"`
	Bytes    []byte `json:"bytes"`
}

// Operators maps operator names to their public keys.
type Operators map[string]ed25519.PublicKey

// NewOperatorKey generates a key pair, base64-encoded as in key files.
func NewOperatorKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", err
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// Sign signs a document with a private key in the encoding of NewOperatorKey.
func Sign(doc []byte, operator, private string) (Signature, error) {
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(private))
	if err != nil || len(seed) != ed25519.SeedSize {
		return Signature{}, errors.New("invalid private key: want a base64-encoded Ed25519 seed")
	}
	key := ed25519.NewKeyFromSeed(seed)
	return Signature{Operator: operator, Bytes: ed25519.Sign(key, signedMessage(doc))}, nil
}

func signedMessage(doc []byte) []byte { return append([]byte(signatureContext), doc...) }

// Verify checks a signature against the operators' public keys.
func (ops Operators) Verify(doc []byte, s Signature) error {
	key, ok := ops[s.Operator]
	if !ok {
		return errors.Newf("unknown operator %q", s.Operator)
	}
	if !ed25519.Verify(key, signedMessage(doc), s.Bytes) {
		return errors.Newf("signature of operator %q does not match the document", s.Operator)
	}
	return nil
}

// ParseOperators parses a key file: each line holds an operator's name and a
// public key; # begins a comment line.
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
			return nil, fmt.Errorf("line %d: invalid public key: want a base64-encoded Ed25519 key", n)
		}
		ops[words[0]] = key
	}
	return ops, lines.Err()
}

package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxSize is the largest document accepted, in bytes.
const MaxSize = 8 << 20

// Defaults of optional fields.
const (
	defaultSlots    = 16
	defaultWeight   = 1
	defaultReplicas = 3
)

// ValidationError is a validation error with a suggested fix.
type ValidationError struct {
	Line    int    // 1-based; 0 if no line applies
	Path    string // such as targets[2].address
	Message string
	Hint    string
}

// String formats the error on one line.
func (m ValidationError) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", m.Line, m.Path, m.Message, m.Hint)
}

// ValidationErrors lists all validation errors of a document.
type ValidationErrors []ValidationError

// Error implements the error interface, with one validation error per line.
func (ms ValidationErrors) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and validates a YAML or JSON document. Its errors are of type
// ValidationErrors.
func Parse(doc []byte) (*Bundle, error) {
	if len(doc) > MaxSize {
		return nil, ValidationErrors{{Path: "(document)", Message: fmt.Sprintf("larger than %d bytes", MaxSize), Hint: "split the site"}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, ValidationErrors{{Path: "(document)", Message: err.Error(), Hint: "write valid YAML or JSON"}}
	}
	var b Bundle
	var errs ValidationErrors
	dec := yaml.NewDecoder(bytes.NewReader(doc))
	dec.KnownFields(true)
	if err := dec.Decode(&b); err != nil {
		errs = append(errs, decodeErrors(err)...)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) && len(errs) == 0 {
		errs = append(errs, ValidationError{Path: "(document)", Message: "more than one document", Hint: "write one document per file"})
	}
	b.fillDefaults()
	c := &checker{bundle: &b, root: &root}
	c.run()
	errs = append(errs, c.errs...)
	if len(errs) > 0 {
		return nil, errs
	}
	return &b, nil
}

// Decode decodes a document that the control group has already validated. It is
// several times faster than Parse and detects fewer errors.
func Decode(doc []byte) (*Bundle, error) {
	var b Bundle
	if err := yaml.Unmarshal(doc, &b); err != nil {
		return nil, errors.Wrap(err, "decode accepted bundle")
	}
	b.fillDefaults()
	return &b, nil
}

// Digest returns the SHA-256 of the document's bytes as hex.
func Digest(doc []byte) string {
	sum := sha256.Sum256(doc)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the hash under which a bundle stores an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

func (b *Bundle) fillDefaults() {
	if b.Guard.Replicas == 0 {
		b.Guard.Replicas = defaultReplicas
	}
	if b.Resume.Leaning == "" {
		b.Resume.Leaning = PreferLatency
	}
	for i := range b.Targets {
		if b.Targets[i].Slots == 0 {
			b.Targets[i].Slots = defaultSlots
		}
	}
	for i := range b.Accounts {
		if b.Accounts[i].Weight == 0 {
			b.Accounts[i].Weight = defaultWeight
		}
	}
}

func decodeErrors(err error) ValidationErrors {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		return ValidationErrors{{Path: "(document)", Message: err.Error(), Hint: "write valid YAML or JSON"}}
	}
	var errs ValidationErrors
	for _, text := range typeErr.Errors {
		errs = append(errs, ValidationError{Line: lineOfDecodeError(text), Path: "(field)", Message: text, Hint: "use a field and type that docs/BUNDLE.md lists"})
	}
	return errs
}

func lineOfDecodeError(text string) int {
	rest, ok := strings.CutPrefix(text, "line ")
	if !ok {
		return 0
	}
	number, _, _ := strings.Cut(rest, ":")
	n, _ := strconv.Atoi(number)
	return n
}

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

// Defaults for what a bundle may leave out.
const (
	defaultSlots    = 16
	defaultWeight   = 1
	defaultReplicas = 3
)

// Mistake is one thing wrong with a document and what to do about it.
type Mistake struct {
	Line   int    // 1 is the first line; 0 where no line applies
	Path   string // such as targets[2].address
	Text   string
	Remedy string
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", m.Line, m.Path, m.Text, m.Remedy)
}

// Mistakes is every mistake of a document at once; it is an error.
type Mistakes []Mistake

// Error implements the error interface, a mistake a line.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a YAML or JSON document. The error is Mistakes.
func Parse(doc []byte) (*Bundle, error) {
	if len(doc) > MaxSize {
		return nil, Mistakes{{Path: "(document)", Text: fmt.Sprintf("larger than %d bytes", MaxSize), Remedy: "split the site"}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, Mistakes{{Path: "(document)", Text: err.Error(), Remedy: "write valid YAML or JSON"}}
	}
	var b Bundle
	var mistakes Mistakes
	dec := yaml.NewDecoder(bytes.NewReader(doc))
	dec.KnownFields(true)
	if err := dec.Decode(&b); err != nil {
		mistakes = append(mistakes, decodeMistakes(err)...)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) && len(mistakes) == 0 {
		mistakes = append(mistakes, Mistake{Path: "(document)", Text: "more than one document", Remedy: "keep one document a file"})
	}
	b.fillDefaults()
	c := &checker{bundle: &b, root: &root}
	c.run()
	mistakes = append(mistakes, c.mistakes...)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return &b, nil
}

// Decode reads a document that the control group has checked and accepted; it
// is several times cheaper than Parse and finds fewer mistakes.
func Decode(doc []byte) (*Bundle, error) {
	var b Bundle
	if err := yaml.Unmarshal(doc, &b); err != nil {
		return nil, errors.Wrap(err, "accepted bundle")
	}
	b.fillDefaults()
	return &b, nil
}

// Digest returns the SHA-256 of the document's bytes as hex.
func Digest(doc []byte) string {
	sum := sha256.Sum256(doc)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the form in which a bundle stores an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

func (b *Bundle) fillDefaults() {
	if b.Guard.Replicas == 0 {
		b.Guard.Replicas = defaultReplicas
	}
	if b.Resume.Leaning == "" {
		b.Resume.Leaning = LeanLatency
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

func decodeMistakes(err error) Mistakes {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		return Mistakes{{Path: "(document)", Text: err.Error(), Remedy: "write valid YAML or JSON"}}
	}
	var ms Mistakes
	for _, text := range typeErr.Errors {
		ms = append(ms, Mistake{Line: leadingLine(text), Path: "(field)", Text: text, Remedy: "use a field and type that docs/BUNDLE.md lists"})
	}
	return ms
}

func leadingLine(text string) int {
	rest, ok := strings.CutPrefix(text, "line ")
	if !ok {
		return 0
	}
	num, _, _ := strings.Cut(rest, ":")
	n, _ := strconv.Atoi(num)
	return n
}

// Package walnutramp defines the types shared by all parts of the serving system: names,
// IDs, tokens, result codes and the error type that carries them.
//
// Each part is a package of its own; package node assembles them into an entry node.
package walnutramp

// Package walnutramp holds the few types that every part of the serving
// system shares: names, identities, tokens, numbered result codes and the
// error that carries them.
//
// The parts themselves live in sub-packages, one for each concern; package
// node wires them into an entry node.
package walnutramp

// Package generation keeps one generation whole across the loss of its
// engine and of its entry node.
//
// A generation is a small in-memory replicated log of tokens. Its owner, the
// entry node that holds the caller, appends what the engine sends; a token is
// released to the caller only when a majority of the replica set holds it at
// the owner's epoch. A node that takes over first makes a majority promise a
// newer epoch, so it knows every token a caller has seen, and the old owner
// can release nothing more.
package generation

// Package generation keeps generations running across the loss of their engine or of
// their entry node.
//
// A generation is a replicated in-memory log of tokens. Its owner, the entry node that
// serves the caller, appends what the engine sends. A token is released to the caller
// only once a majority of the replica set holds it at the owner's epoch. A node that takes
// over first obtains a majority's promise of a newer epoch, as in Paxos: it then knows
// every token that a caller has seen, and the old owner can release no more.
package generation

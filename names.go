package walnutramp

// NodeName names an entry node; it stays the same across restarts.
type NodeName string

// DataHall names the data hall a node or a target stands in.
type DataHall string

// TargetName names a back end: a model engine or a plain service process.
type TargetName string

// ClientAccount names the account a caller's key belongs to.
type ClientAccount string

// ModelName names a model as callers ask for it.
type ModelName string

// Incarnation tells one run of a node from the next: a node that restarts
// under its old name gets a larger one and remembers nothing of the last.
type Incarnation uint64

package walnutramp

// NodeName names an entry node. It is stable across restarts.
type NodeName string

// DataHall names the data hall of a node or target.
type DataHall string

// TargetName names a target: a model engine or a plain service process.
type TargetName string

// ClientAccount names the client account that an API key belongs to.
type ClientAccount string

// ModelName names a model in callers' requests.
type ModelName string

// Incarnation distinguishes the process lifetimes of a node: it increases with each
// restart, after which the node has lost its in-memory state.
type Incarnation uint64

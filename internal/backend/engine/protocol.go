// Package engine speaks to model engines.
//
// An engine is the arbiter of who commands it: an order carries a fence, and
// the engine refuses orders below the highest fence it has granted. The
// version of each part of a sample comes from the engine's own stream.
package engine

// State is what an engine reports of itself, with a lag.
type State struct {
	// Instance is unique for each run of the engine process.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Model is the trainer whose weights are loaded, "" for none.
	Model string `json:"model"`
	// Version is the weight version served, 0 for none or a broken one.
	Version uint64 `json:"version"`
	Loading bool   `json:"loading"`
	Leaving bool   `json:"leaving"`
	Fence   uint64 `json:"fence"`
	// FenceOwner is the daemon that holds the fence.
	FenceOwner string `json:"fence_owner"`
	// Slots is how many streams the engine batches at a time.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// TokensPerSecond is what one stream gets at the present batch size.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// ClaimRequest raises the fence. It is granted if Fence is above the engine's.
type ClaimRequest struct {
	Owner string `json:"owner"`
	Fence uint64 `json:"fence"`
}

// LoadRequest orders a weight version. The swap happens under running streams:
// they pause, then go on with the new version.
type LoadRequest struct {
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Version  uint64 `json:"version"`
	Artifact string `json:"artifact"`
}

// GenerateRequest asks for one sample.
type GenerateRequest struct {
	// ID names the try; it is unique and lets it be cancelled.
	ID     string `json:"id"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Seed   uint64 `json:"seed"`
	// Prefix holds the tokens that were already generated; the stream goes on
	// after them.
	Prefix    []uint32 `json:"prefix,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	// Priority: larger is sooner.
	Priority int64 `json:"priority"`
	// KVSource is the address of an engine that exports the KV cache of try
	// KVID, "" to compute the prefix anew.
	KVSource string `json:"kv_source,omitempty"`
	KVID     string `json:"kv_id,omitempty"`
}

// EndReason says why a stream ended. A stream without one is incomplete.
type EndReason string

// The reasons.
const (
	EndStop   EndReason = "stop"
	EndLength EndReason = "length"
)

// Frame is one line of a generation stream.
type Frame struct {
	// Version is the weight version that produced Tokens.
	Version uint64    `json:"version,omitempty"`
	Tokens  []uint32  `json:"tokens,omitempty"`
	End     EndReason `json:"end,omitempty"`
	// Total is the number of tokens after the prefix, in the end frame.
	Total int    `json:"total,omitempty"`
	Error string `json:"error,omitempty"`
}

// FenceAnswer is the body of a refusal for a stale fence.
type FenceAnswer struct {
	Fence uint64 `json:"fence"`
	Owner string `json:"owner"`
}

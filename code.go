package walnutramp

import "fmt"

// Code is a numbered result. The thousands digit is the area: 1 success, 2 caller requests,
// 3 capacity, 4 generations, 5 plain services, 6 peers, 7 bundles, 9 the node itself.
// docs/CODES.md documents them.
type Code int

// The result codes. Numbers are never reused.
const (
	CodeOK Code = 1000

	CodeBadJSON           Code = 2001
	CodeUnknownModel      Code = 2002
	CodeBodyTooLarge      Code = 2003
	CodeBadKey            Code = 2004
	CodeBadPosition       Code = 2005
	CodeUnknownPath       Code = 2006
	CodeUnsupportedOption Code = 2007
	CodeKeyReused         Code = 2008
	CodeKeyMissing        Code = 2009
	CodeBadRequest        Code = 2010
	CodeBodyTimeout       Code = 2011
	CodeHeaderTooLarge    Code = 2012

	CodeOverloaded      Code = 3001
	CodeAccountLimit    Code = 3002
	CodeNoTarget        Code = 3003
	CodeQueueDeadline   Code = 3004
	CodeStopping        Code = 3005
	CodeNotInForce      Code = 3006
	CodeQuarantined     Code = 3007
	CodeTargetsCooldown Code = 3008
	CodeClientSlow      Code = 3009
	CodeTargetsLimited  Code = 3010
	CodeNoPath          Code = 3011
	CodeVersionGone     Code = 3012
	CodeVersionUnknown  Code = 3013

	CodeGenerationUnknown Code = 4001
	CodeNotProvable       Code = 4002
	CodeMoved             Code = 4003
	CodeResumeRefused     Code = 4004
	CodeEngineRefused     Code = 4005
	CodeOutOfTargets      Code = 4006

	CodeOutcomeUnknown    Code = 5001
	CodeStillRunning      Code = 5002
	CodeTargetFailed      Code = 5003
	CodeLedgerUnavailable Code = 5004
	CodeTargetSlow        Code = 5005
	CodeCrashesTargets    Code = 5006

	CodeStaleEpoch       Code = 6001
	CodeWrongIncarnation Code = 6002
	CodeNotHeld          Code = 6003
	CodeNoQuorum         Code = 6004
	CodeUnknownPeer      Code = 6005

	CodeBundleInvalid   Code = 7001
	CodeBundleSignature Code = 7002
	CodeBundleConflict  Code = 7003
	CodeNoLeader        Code = 7004
	CodeRolloutUnderWay Code = 7005
	CodeRolloutInForce  Code = 7006
	CodeRolloutInvalid  Code = 7007
	CodeRolloutUnknown  Code = 7008

	CodeInternal Code = 9001
)

// Outcome says whether a request was executed.
type Outcome string

// The outcomes. NotRun guarantees that no target has begun the request or will; if that is
// uncertain, the outcome is Unknown.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// CodeInfo describes a code.
type CodeInfo struct {
	Code   Code
	Name   string
	Status int // HTTP status
	Text   string
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", 200, "The request was served."},
	{CodeBadJSON, "bad-json", 400, "The body is not the JSON object this path expects."},
	{CodeUnknownModel, "unknown-model", 404, "No model of that name is in the bundle in force."},
	{CodeBodyTooLarge, "body-too-large", 413, "The body is larger than the node accepts."},
	{CodeBadKey, "bad-key", 401, "The API key belongs to no client account."},
	{CodeBadPosition, "bad-position", 400, "Last-Event-ID is not a position this system gave out."},
	{CodeUnknownPath, "unknown-path", 404, "Nothing is served at that path."},
	{CodeUnsupportedOption, "unsupported-option", 400, "The request asks for something this system does not serve."},
	{CodeKeyReused, "key-reused", 422, "The Idempotency-Key was used before with another body."},
	{CodeKeyMissing, "key-missing", 400, "A request that may not be repeated needs an Idempotency-Key."},
	{CodeBadRequest, "bad-request", 400, "A field of the request has a value that is not allowed."},
	{CodeBodyTimeout, "body-timeout", 408, "The body did not arrive in time."},
	{CodeHeaderTooLarge, "header-too-large", 431, "The head of the request is larger than the configuration allows."},
	{CodeOverloaded, "overloaded", 503, "Too much work is waiting; come back after Retry-After."},
	{CodeAccountLimit, "account-limit", 429, "The client account is at its limit; come back after Retry-After."},
	{CodeNoTarget, "no-target", 503, "No live target serves this now; come back after Retry-After."},
	{CodeQueueDeadline, "queue-deadline", 503, "The request waited as long as it may and was not started."},
	{CodeStopping, "stopping", 503, "This node is stopping; another node will take the request."},
	{CodeNotInForce, "not-in-force", 503, "This node cannot tell whether its bundle is the newest and takes no new work."},
	{CodeQuarantined, "held-back", 503, "Targets end when they run this request, so it is kept from them; come back after Retry-After."},
	{CodeTargetsCooldown, "targets-rest", 503, "All targets that serve this asked to be left alone for a while; come back after Retry-After."},
	{CodeClientSlow, "client-slow", 503, "The client read its answer too slowly for what may be held of it; it can come again with its last event."},
	{CodeTargetsLimited, "targets-limited", 503, "All targets that serve this are at the rate limits that they publish; come back after Retry-After."},
	{CodeNoPath, "no-path", 503, "This node has lost its path to the targets that serve this, and no other node offers one; come back after Retry-After."},
	{CodeVersionGone, "version-gone", 503, "No target of the software version that began the stream is left; begin anew, without Last-Event-ID."},
	{CodeVersionUnknown, "version-unknown", 503, "No reachable node knows which software version began the stream; begin anew, without Last-Event-ID."},
	{CodeGenerationUnknown, "generation-unknown", 404, "No reachable node holds that generation."},
	{CodeNotProvable, "not-provable", 503, "Too few replicas answer to prove where the generation stands."},
	{CodeMoved, "moved", 503, "Another node now owns the generation; reconnect with Last-Event-ID."},
	{CodeResumeRefused, "seam-refused", 502, "The engine is gone and the request's options do not allow another to go on exactly."},
	{CodeEngineRefused, "engine-refused", 502, "The engine refused the request."},
	{CodeOutOfTargets, "out-of-targets", 503, "Every target of the model is gone; reconnect with Last-Event-ID after Retry-After."},
	{CodeOutcomeUnknown, "outcome-unknown", 502, "The request was sent and its outcome is not known; it will not be sent again."},
	{CodeStillRunning, "still-running", 409, "The request with this key is still running."},
	{CodeTargetFailed, "target-failed", 502, "The target failed before it answered."},
	{CodeLedgerUnavailable, "ledger-away", 503, "The ledger cannot be reached, so the request was not started."},
	{CodeTargetSlow, "target-slow", 504, "The target did not answer in the time that the request may take."},
	{CodeCrashesTargets, "ends-targets", 502, "Targets ended when they ran this request; it is not sent to another."},
	{CodeStaleEpoch, "stale-epoch", 409, "A newer epoch holds the generation."},
	{CodeWrongIncarnation, "wrong-incarnation", 409, "The node restarted since and knows nothing of this."},
	{CodeNotHeld, "not-held", 404, "This node does not hold the generation, or what a piece was asked of."},
	{CodeNoQuorum, "no-quorum", 503, "No majority answered."},
	{CodeUnknownPeer, "stranger", 403, "The peer is not a node of this site."},
	{CodeBundleInvalid, "bundle-invalid", 400, "The bundle has mistakes."},
	{CodeBundleSignature, "bundle-signature", 403, "The bundle is not signed by a known operator."},
	{CodeBundleConflict, "bundle-conflict", 409, "Another bundle won this version."},
	{CodeNoLeader, "no-leader", 503, "The control group has no leader now."},
	{CodeRolloutUnderWay, "rollout-under-way", 409, "A roll-out of the service is under way."},
	{CodeRolloutInForce, "rollout-in-force", 422, "The service has that version already."},
	{CodeRolloutInvalid, "rollout-invalid", 400, "The order names no service, version or time above 0, or the site has no roll-outs."},
	{CodeRolloutUnknown, "rollout-unknown", 404, "There is no such service, or it had no roll-out."},
	{CodeInternal, "internal", 500, "The node failed."},
}

var codeIndex = indexCodes()

func indexCodes() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		m[info.Code] = info
	}
	return m
}

// Codes returns all codes in numeric order.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codeTable...) }

// Info returns the description of c; an unknown code is described as internal.
func (c Code) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return codeIndex[CodeInternal]
}

// Final reports whether the code is the same from every member of the control group, so
// that asking another one is useless.
func (c Code) Final() bool {
	switch c {
	case CodeBundleInvalid, CodeBundleSignature, CodeRolloutInvalid, CodeRolloutUnknown:
		return true
	}
	return false
}

// String returns the number and the name.
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), c.Info().Name) }

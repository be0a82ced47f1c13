package policy

import (
	"maps"

	"go.starlark.net/starlark"
)

// FailureAction is a result of the hook on_failure.
type FailureAction string

// The actions after a request to a back end failed.
const (
	// ActionRetry retries on another replica, within the retry budget.
	ActionRetry FailureAction = "retry"
	// ActionRefuse fails the request without another attempt.
	ActionRefuse FailureAction = "refuse"
)

// Accepts reports whether a sample whose oldest segment has sampleVersion may
// be delivered to a trainer that trains currentVersion. The trainer's MaxStaleness
// always applies; the hook accepts(trainer, sample_version, current_version) can
// only reject further samples. If the hook fails, MaxStaleness alone decides.
func (s *Set) Accepts(trainer Trainer, sampleVersion, currentVersion uint64) bool {
	if currentVersion > sampleVersion && currentVersion-sampleVersion > trainer.MaxStaleness {
		return false
	}
	answer, ok := s.call(trainer.document, "accepts",
		starlark.String(trainer.Name), starlark.MakeUint64(sampleVersion), starlark.MakeUint64(currentVersion))
	if !ok {
		return true
	}
	accepted, ok := answer.(starlark.Bool)
	if !ok {
		s.countHookFailure("accepts")
		return true
	}
	return bool(accepted)
}

// OnFailure returns what to do after a repeatable request failed attempt times.
// Without the hook on_failure, or if it fails, the result is ActionRetry.
func (s *Set) OnFailure(service, operation string, attempt int) FailureAction {
	answer, ok := s.call(s.Services[service].document, "on_failure",
		starlark.String(service), starlark.String(operation), starlark.MakeInt(attempt))
	if !ok {
		return ActionRetry
	}
	text, _ := starlark.AsString(answer) // "" if the answer is not a string, which is not a valid action
	action := FailureAction(text)
	if action != ActionRetry && action != ActionRefuse {
		s.countHookFailure("on_failure")
		return ActionRetry
	}
	return action
}

// Priority returns the priority of a trainer's samples at engines; larger values run first.
// Without the hook priority, or if it fails, it is the weight of the trainer's traffic class.
func (s *Set) Priority(trainer Trainer) int64 {
	fallback := s.Classes[trainer.Class].Weight
	answer, ok := s.call(trainer.document, "priority", starlark.String(trainer.Name))
	if !ok {
		return fallback
	}
	if number, ok := answer.(starlark.Int); ok {
		if value, fits := number.Int64(); fits {
			return value
		}
	}
	s.countHookFailure("priority")
	return fallback
}

// call calls a hook of a document. The result is false if the document does not define the
// hook or the hook failed; failures are counted.
func (s *Set) call(document, hook string, args ...starlark.Value) (starlark.Value, bool) {
	p, ok := s.programs[document]
	if !ok {
		return nil, false
	}
	answer, ok, err := p.call(hook, args)
	if err != nil {
		s.countHookFailure(hook)
	}
	return answer, ok
}

// HookFailures returns how often each hook failed or returned an invalid result, by name of
// the hook, since the set was compiled.
func (s *Set) HookFailures() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.hookFailures)
}

// countHookFailure increments the failure count of a hook.
func (s *Set) countHookFailure(hook string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hookFailures[hook]++
}

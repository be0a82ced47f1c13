package policy

import (
	"maps"

	"go.starlark.net/starlark"
)

// FailureAction is what on_failure may answer.
type FailureAction string

// The actions after a back end falters.
const (
	// ActionRetry tries another replica, within the retry budget.
	ActionRetry FailureAction = "retry"
	// ActionRefuse gives up at once.
	ActionRefuse FailureAction = "refuse"
)

// Accepts reports whether a sample whose oldest segment has sampleVersion may
// be delivered to a trainer that trains currentVersion. The declared bound
// always holds; the hook accepts(trainer, sample_version, current_version) can
// only refuse more. A hook fault falls back to the declared bound.
func (s *Set) Accepts(trainer Trainer, sampleVersion, currentVersion uint64) bool {
	if currentVersion > sampleVersion && currentVersion-sampleVersion > trainer.MaxStaleness {
		return false
	}
	answer, ok := s.call(trainer.document, "accepts",
		starlark.String(trainer.Name), starlark.MakeUint64(sampleVersion), starlark.MakeUint64(currentVersion))
	if !ok {
		return true
	}
	verdict, ok := answer.(starlark.Bool)
	if !ok {
		s.countHookFailure("accepts")
		return true
	}
	return bool(verdict)
}

// OnFailure answers what to do after attempt tries of a repeatable request
// failed. Without a hook, or after a hook fault, it retries.
func (s *Set) OnFailure(service, operation string, attempt int) FailureAction {
	answer, ok := s.call(s.Services[service].document, "on_failure",
		starlark.String(service), starlark.String(operation), starlark.MakeInt(attempt))
	if !ok {
		return ActionRetry
	}
	text, _ := starlark.AsString(answer) // "" is no action
	action := FailureAction(text)
	if action != ActionRetry && action != ActionRefuse {
		s.countHookFailure("on_failure")
		return ActionRetry
	}
	return action
}

// Priority answers the engine priority of a trainer's samples: larger is
// sooner. Without a hook, or after a hook fault, it is the weight of the trainer's class.
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

// call runs a document's hook. It reports false where the document has no
// such hook or the hook failed; a failure is counted.
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

// HookFailures returns how often each hook failed since the set was compiled.
func (s *Set) HookFailures() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.hookFailures)
}

// countHookFailure counts a countHookFailure of a hook.
func (s *Set) countHookFailure(hook string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hookFailures[hook]++
}

package policy

import (
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"woodworks/internal/callers/apikey"
)

const (
	// loadStepLimit bounds the steps of loading one document.
	loadStepLimit = 1_000_000
	// hookStepLimit bounds the steps of one hook call.
	hookStepLimit = 20_000
	// MaxSourceBytes bounds one document's source.
	MaxSourceBytes = 256 << 10
)

// Fault is an error in a policy document.
type Fault struct {
	Document string
	// Line is 1-based, 0 where the fault belongs to no single line.
	Line   int32
	Reason string
}

// Error implements error as "document:line: reason".
func (fault *Fault) Error() string {
	if fault.Line == 0 {
		return fmt.Sprintf("%s: %s", fault.Document, fault.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", fault.Document, fault.Line, fault.Reason)
}

func faultf(document string, line int32, format string, arguments ...any) error {
	return &Fault{Document: document, Line: line, Reason: fmt.Sprintf(format, arguments...)}
}

// declaration is one declared value with its line.
type declaration[Value any] struct {
	value Value
	line  int32
}

type declarations struct {
	trainers     []declaration[Trainer]
	services     []declaration[Service]
	callers      []declaration[Caller]
	classes      []declaration[Class]
	retryBudgets []declaration[RetryBudget]
}

// program is one loaded document: frozen globals and what it declared.
type program struct {
	document string
	globals  starlark.StringDict
	declared declarations
}

var fileOptions = &syntax.FileOptions{Set: true, GlobalReassign: false}

func loadProgram(document, source string) (*program, error) {
	if len(source) > MaxSourceBytes {
		return nil, faultf(document, 0, "source has %d bytes, over the limit of %d", len(source), MaxSourceBytes)
	}
	loaded := &program{document: document}
	thread := newThread(document, loadStepLimit)
	globals, err := starlark.ExecFileOptions(fileOptions, thread, document, source, loaded.builtins())
	if err != nil {
		return nil, asFault(document, err)
	}
	globals.Freeze()
	loaded.globals = globals
	return loaded, nil
}

func newThread(name string, steps uint64) *starlark.Thread {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(steps)
	return thread
}

// asFault turns the errors of the Starlark library into a Fault.
func asFault(document string, err error) error {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	var syntaxError syntax.Error
	if errors.As(err, &syntaxError) {
		return faultf(document, syntaxError.Pos.Line, "%s", syntaxError.Msg)
	}
	var resolveErrors resolve.ErrorList
	if errors.As(err, &resolveErrors) && len(resolveErrors) > 0 {
		return faultf(document, resolveErrors[0].Pos.Line, "%s", resolveErrors[0].Msg)
	}
	var evalError *starlark.EvalError
	if errors.As(err, &evalError) {
		return faultf(document, lineOf(evalError.CallStack), "%s", evalError.Msg)
	}
	return faultf(document, 0, "%s", err.Error())
}

// lineOf returns the line of the innermost frame that is in the document.
func lineOf(stack starlark.CallStack) int32 {
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i].Pos.Line > 0 {
			return stack[i].Pos.Line
		}
	}
	return 0
}

// call runs a global function by name. It reports false if there is none.
func (loaded *program) call(hook string, arguments starlark.Tuple) (starlark.Value, bool, error) {
	function, defined := loaded.globals[hook].(starlark.Callable)
	if !defined {
		return nil, false, nil
	}
	answer, err := starlark.Call(newThread(hook, hookStepLimit), function, arguments, nil)
	if err != nil {
		return nil, false, asFault(loaded.document, err)
	}
	return answer, true, nil
}

type builtinFunction func(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error

func (loaded *program) builtins() starlark.StringDict {
	declared := starlark.StringDict{}
	add := func(name string, function builtinFunction) {
		declared[name] = starlark.NewBuiltin(name, func(thread *starlark.Thread, _ *starlark.Builtin, arguments starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
			line := thread.CallFrame(1).Pos.Line
			return starlark.None, function(arguments, keywords, line)
		})
	}
	add("trainer", loaded.declareTrainer)
	add("service", loaded.declareService)
	add("caller", loaded.declareCaller)
	add("traffic_class", loaded.declareClass)
	add("retry_budget", loaded.declareRetryBudget)
	declared["operation"] = starlark.NewBuiltin("operation", makeOperation)
	declared["expect"] = starlark.NewBuiltin("expect", expect)
	return declared
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckName returns an error unless the name is lower-case letters, digits and
// hyphens, at most 63 of them, and starts with a letter.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("name %q must be lower-case letters, digits and hyphens, at most 63, starting with a letter", name)
	}
	return nil
}

func (loaded *program) declareTrainer(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error {
	trainer := Trainer{Class: defaultClass, Share: 1}
	staleness := int64(-1)
	err := starlark.UnpackArgs("trainer", arguments, keywords,
		"name", &trainer.Name, "service", &trainer.Service, "max_staleness", &staleness,
		"traffic_class?", &trainer.Class, "share?", &trainer.Share)
	if err != nil {
		return err
	}
	if err := CheckName(trainer.Name); err != nil {
		return errors.Wrap(err, "trainer")
	}
	if staleness < 0 {
		return errors.Errorf("trainer %q: max_staleness %d is negative", trainer.Name, staleness)
	}
	if trainer.Share < 1 {
		return errors.Errorf("trainer %q: share %d is below 1", trainer.Name, trainer.Share)
	}
	trainer.MaxStaleness = uint64(staleness)
	loaded.declared.trainers = append(loaded.declared.trainers, declaration[Trainer]{trainer, line})
	return nil
}

func (loaded *program) declareService(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error {
	service := Service{Operations: map[string]Operation{}}
	var kind, audience string
	var operations *starlark.List
	err := starlark.UnpackArgs("service", arguments, keywords,
		"name", &service.Name, "kind", &kind, "audience", &audience, "operations?", &operations)
	if err != nil {
		return err
	}
	service.Kind = ServiceKind(kind)
	service.Audience = Audience(audience)
	if err := CheckName(service.Name); err != nil {
		return errors.Wrap(err, "service")
	}
	if service.Kind != EngineService && service.Kind != PlainService {
		return errors.Errorf("service %q: kind %q is not engine or plain", service.Name, kind)
	}
	if err := checkAudience(service.Audience); err != nil {
		return errors.Wrapf(err, "service %q", service.Name)
	}
	if err := service.addOperations(operations); err != nil {
		return err
	}
	loaded.declared.services = append(loaded.declared.services, declaration[Service]{service, line})
	return nil
}

func (service Service) addOperations(list *starlark.List) error {
	if list == nil {
		return nil
	}
	for i := range list.Len() {
		value, isOperation := list.Index(i).(operationValue)
		if !isOperation {
			return errors.Errorf("service %q: operations[%d] is not an operation(...)", service.Name, i)
		}
		if _, doubled := service.Operations[value.Operation.Name]; doubled {
			return errors.Errorf("service %q: operation %q stands twice", service.Name, value.Operation.Name)
		}
		service.Operations[value.Operation.Name] = value.Operation
	}
	return nil
}

func checkAudience(audience Audience) error {
	if audience != Public && audience != Internal {
		return errors.Errorf("audience %q is not public or internal", audience)
	}
	return nil
}

func (loaded *program) declareCaller(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error {
	caller := Caller{}
	digest := ""
	var audience string
	err := starlark.UnpackArgs("caller", arguments, keywords,
		"name", &caller.Name, "key_sha256", &digest, "audience", &audience,
		"trainer?", &caller.Trainer, "operator?", &caller.Operator, "max_in_flight?", &caller.MaxInFlight)
	if err != nil {
		return err
	}
	caller.Audience = Audience(audience)
	if err := CheckName(caller.Name); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := checkAudience(caller.Audience); err != nil {
		return errors.Wrapf(err, "caller %q", caller.Name)
	}
	caller.KeyDigest, err = apikey.ParseDigest(digest)
	if err != nil {
		return errors.Wrapf(err, "caller %q: key_sha256", caller.Name)
	}
	if caller.MaxInFlight < 0 {
		return errors.Errorf("caller %q: max_in_flight %d is negative", caller.Name, caller.MaxInFlight)
	}
	loaded.declared.callers = append(loaded.declared.callers, declaration[Caller]{caller, line})
	return nil
}

func (loaded *program) declareClass(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error {
	class := Class{QueueLimit: defaultQueueLimit}
	err := starlark.UnpackArgs("traffic_class", arguments, keywords,
		"name", &class.Name, "weight", &class.Weight, "queue_limit?", &class.QueueLimit)
	if err != nil {
		return err
	}
	if err := CheckName(class.Name); err != nil {
		return errors.Wrap(err, "traffic_class")
	}
	if class.Weight < 0 {
		return errors.Errorf("traffic_class %q: weight %d is negative", class.Name, class.Weight)
	}
	if class.QueueLimit < 1 {
		return errors.Errorf("traffic_class %q: queue_limit %d is below 1", class.Name, class.QueueLimit)
	}
	loaded.declared.classes = append(loaded.declared.classes, declaration[Class]{class, line})
	return nil
}

func (loaded *program) declareRetryBudget(arguments starlark.Tuple, keywords []starlark.Tuple, line int32) error {
	budget := RetryBudget{}
	err := starlark.UnpackArgs("retry_budget", arguments, keywords,
		"percent", &budget.Percent, "minimum_per_second", &budget.Minimum)
	if err != nil {
		return err
	}
	if budget.Percent < 0 || budget.Percent > 100 {
		return errors.Errorf("retry_budget: percent %d is not between 0 and 100", budget.Percent)
	}
	if budget.Minimum < 0 {
		return errors.Errorf("retry_budget: minimum_per_second %d is negative", budget.Minimum)
	}
	loaded.declared.retryBudgets = append(loaded.declared.retryBudgets, declaration[RetryBudget]{budget, line})
	return nil
}

// operationValue carries an Operation through Starlark.
type operationValue struct{ Operation }

// String implements starlark.Value.
func (value operationValue) String() string {
	return fmt.Sprintf("operation(%q)", value.Operation.Name)
}

// Type implements starlark.Value.
func (value operationValue) Type() string { return "operation" }

// Freeze implements starlark.Value.
func (value operationValue) Freeze() {}

// Truth implements starlark.Value.
func (value operationValue) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (value operationValue) Hash() (uint32, error) {
	return 0, errors.New("operation is not hashable")
}

const (
	defaultOperationTimeout = 10 * time.Second
	maxOperationTimeout     = 10 * time.Minute
)

func makeOperation(_ *starlark.Thread, _ *starlark.Builtin, arguments starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	operation := Operation{Class: defaultClass}
	timeout := defaultOperationTimeout.Milliseconds()
	hedge := int64(0)
	err := starlark.UnpackArgs("operation", arguments, keywords,
		"name", &operation.Name, "repeatable", &operation.Repeatable,
		"traffic_class?", &operation.Class, "timeout_ms?", &timeout, "hedge_ms?", &hedge)
	if err != nil {
		return nil, err
	}
	if err := CheckName(operation.Name); err != nil {
		return nil, errors.Wrap(err, "operation")
	}
	if timeout < 1 || timeout > maxOperationTimeout.Milliseconds() {
		return nil, errors.Errorf("operation %q: timeout_ms %d is not between 1 and %d", operation.Name, timeout, maxOperationTimeout.Milliseconds())
	}
	if hedge < 0 {
		return nil, errors.Errorf("operation %q: hedge_ms %d is negative", operation.Name, hedge)
	}
	if hedge > 0 && !operation.Repeatable {
		return nil, errors.Errorf("operation %q: hedge_ms needs repeatable = True", operation.Name)
	}
	operation.Timeout = time.Duration(timeout) * time.Millisecond
	operation.Hedge = time.Duration(hedge) * time.Millisecond
	return operationValue{operation}, nil
}

// expect is for test functions in a document: expect(got, want).
func expect(_ *starlark.Thread, _ *starlark.Builtin, arguments starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	var got, want starlark.Value
	if err := starlark.UnpackArgs("expect", arguments, keywords, "got", &got, "want", &want); err != nil {
		return nil, err
	}
	same, err := starlark.Equal(got, want)
	if err != nil {
		return nil, err
	}
	if !same {
		return nil, errors.Errorf("got %s, want %s", got, want)
	}
	return starlark.None, nil
}

// faultCounter counts hook faults.
type faultCounter struct {
	mutex  sync.Mutex
	counts map[string]uint64
}

func (counter *faultCounter) add(hook string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[hook]++
}

func (counter *faultCounter) snapshot() map[string]uint64 {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	copied := make(map[string]uint64, len(counter.counts))
	for hook, count := range counter.counts {
		copied[hook] = count
	}
	return copied
}

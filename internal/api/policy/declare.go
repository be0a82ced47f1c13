package policy

import (
	"fmt"
	"regexp"
	"time"

	"github.com/pkg/errors"
	"go.starlark.net/starlark"

	"woodworks/internal/callers/apikey"
)

// declarations collects the declarations of one document while it is loaded.
type declarations struct {
	trainers     []Trainer
	services     []Service
	callers      []Caller
	classes      []TrafficClass
	retryBudgets []RetryBudget
}

// declareFunc handles one call of a declaring built-in such as trainer or service: it checks
// the arguments and adds the declaration.
type declareFunc func(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error

// builtins returns the functions that a document can call in addition to Starlark's own.
func (d *declarations) builtins(document string) starlark.StringDict {
	dict := starlark.StringDict{
		"operation": starlark.NewBuiltin("operation", makeOperation),
		"expect":    starlark.NewBuiltin("expect", expect),
	}
	for name, declare := range map[string]declareFunc{
		"trainer": d.trainer, "service": d.service, "caller": d.caller, "traffic_class": d.class, "retry_budget": d.retryBudget,
	} {
		dict[name] = starlark.NewBuiltin(name, func(
			thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
		) (starlark.Value, error) {
			return starlark.None, declare(args, kwargs, origin{document: document, line: thread.CallFrame(1).Pos.Line})
		})
	}
	return dict
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckName returns an error unless the name consists of at most 63 lower-case letters,
// digits and hyphens and starts with a letter.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("name %q must be lower-case letters, digits and hyphens, at most 63, starting with a letter", name)
	}
	return nil
}

// unpack unpacks the arguments of a built-in whose first parameter is a name, and checks the
// name. The others are as for starlark.UnpackArgs.
func unpack(kind string, args starlark.Tuple, kwargs []starlark.Tuple, name *string, others ...any) error {
	if err := starlark.UnpackArgs(kind, args, kwargs, append([]any{"name", name}, others...)...); err != nil {
		return err
	}
	return errors.Wrap(CheckName(*name), kind)
}

func checkAudience(audience Audience) error {
	if audience != Public && audience != Internal {
		return errors.Errorf("audience %q is not public or internal", audience)
	}
	return nil
}

func (d *declarations) trainer(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error {
	t := Trainer{Class: defaultClass, origin: at}
	staleness, share := int64(-1), int64(1) // share is accepted but has no effect
	err := unpack("trainer", args, kwargs, &t.Name,
		"service", &t.Service, "max_staleness", &staleness, "traffic_class?", &t.Class, "share?", &share)
	if err != nil {
		return err
	}
	if staleness < 0 {
		return errors.Errorf("trainer %q: max_staleness %d is negative", t.Name, staleness)
	}
	if share < 1 {
		return errors.Errorf("trainer %q: share %d is below 1", t.Name, share)
	}
	t.MaxStaleness = uint64(staleness)
	d.trainers = append(d.trainers, t)
	return nil
}

func (d *declarations) service(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error {
	service := Service{Operations: map[string]Operation{}, origin: at}
	var operations *starlark.List
	err := unpack("service", args, kwargs, &service.Name,
		"kind", (*string)(&service.Kind), "audience", (*string)(&service.Audience), "operations?", &operations)
	if err != nil {
		return err
	}
	if service.Kind != EngineService && service.Kind != PlainService {
		return errors.Errorf("service %q: kind %q is not engine or plain", service.Name, service.Kind)
	}
	if err := checkAudience(service.Audience); err != nil {
		return errors.Wrapf(err, "service %q", service.Name)
	}
	if err := service.addOperations(operations); err != nil {
		return err
	}
	d.services = append(d.services, service)
	return nil
}

func (s Service) addOperations(list *starlark.List) error {
	if list == nil {
		return nil
	}
	for i := range list.Len() {
		value, ok := list.Index(i).(operationValue)
		if !ok {
			return errors.Errorf("service %q: operations[%d] is not an operation(...)", s.Name, i)
		}
		if _, ok := s.Operations[value.Name]; ok {
			return errors.Errorf("service %q: operation %q stands twice", s.Name, value.Name)
		}
		s.Operations[value.Name] = value.Operation
	}
	return nil
}

func (d *declarations) caller(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error {
	c, digest := Caller{origin: at}, ""
	err := unpack("caller", args, kwargs, &c.Name, "key_sha256", &digest, "audience", (*string)(&c.Audience),
		"trainer?", &c.Trainer, "operator?", &c.Operator, "max_in_flight?", &c.MaxInFlight)
	if err != nil {
		return err
	}
	if err := checkAudience(c.Audience); err != nil {
		return errors.Wrapf(err, "caller %q", c.Name)
	}
	c.KeyDigest, err = apikey.ParseDigest(digest)
	if err != nil {
		return errors.Wrapf(err, "caller %q: key_sha256", c.Name)
	}
	if c.MaxInFlight < 0 {
		return errors.Errorf("caller %q: max_in_flight %d is negative", c.Name, c.MaxInFlight)
	}
	d.callers = append(d.callers, c)
	return nil
}

func (d *declarations) class(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error {
	class := TrafficClass{QueueLimit: defaultQueueLimit, origin: at}
	err := unpack("traffic_class", args, kwargs, &class.Name, "weight", &class.Weight, "queue_limit?", &class.QueueLimit)
	if err != nil {
		return err
	}
	if class.Weight < 0 {
		return errors.Errorf("traffic_class %q: weight %d is negative", class.Name, class.Weight)
	}
	if class.QueueLimit < 1 {
		return errors.Errorf("traffic_class %q: queue_limit %d is below 1", class.Name, class.QueueLimit)
	}
	d.classes = append(d.classes, class)
	return nil
}

func (d *declarations) retryBudget(args starlark.Tuple, kwargs []starlark.Tuple, at origin) error {
	budget := RetryBudget{origin: at}
	err := starlark.UnpackArgs("retry_budget", args, kwargs,
		"percent", &budget.Percent, "minimum_per_second", &budget.MinPerSecond)
	if err != nil {
		return err
	}
	if budget.Percent < 0 || budget.Percent > 100 {
		return errors.Errorf("retry_budget: percent %d is not between 0 and 100", budget.Percent)
	}
	if budget.MinPerSecond < 0 {
		return errors.Errorf("retry_budget: minimum_per_second %d is negative", budget.MinPerSecond)
	}
	d.retryBudgets = append(d.retryBudgets, budget)
	return nil
}

// operationValue makes an Operation a starlark.Value: the result of operation(...), which a
// document passes to service(...).
type operationValue struct{ Operation }

func (v operationValue) String() string      { return fmt.Sprintf("operation(%q)", v.Name) }
func (operationValue) Type() string          { return "operation" }
func (operationValue) Freeze()               {}
func (operationValue) Truth() starlark.Bool  { return true }
func (operationValue) Hash() (uint32, error) { return 0, errors.New("operation is not hashable") }

const (
	defaultOperationTimeout = 10 * time.Second
	maxOperationTimeout     = 10 * time.Minute
)

func makeOperation(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	operation := Operation{Class: defaultClass}
	timeout, hedge := defaultOperationTimeout.Milliseconds(), int64(0)
	err := unpack("operation", args, kwargs, &operation.Name, "repeatable", &operation.Repeatable,
		"traffic_class?", &operation.Class, "timeout_ms?", &timeout, "hedge_ms?", &hedge)
	if err != nil {
		return nil, err
	}
	if timeout < 1 || timeout > maxOperationTimeout.Milliseconds() {
		return nil, errors.Errorf("operation %q: timeout_ms %d is not between 1 and %d",
			operation.Name, timeout, maxOperationTimeout.Milliseconds())
	}
	if hedge < 0 {
		return nil, errors.Errorf("operation %q: hedge_ms %d is negative", operation.Name, hedge)
	}
	if hedge > 0 && !operation.Repeatable {
		return nil, errors.Errorf("operation %q: hedge_ms needs repeatable = True", operation.Name)
	}
	operation.Timeout = time.Duration(timeout) * time.Millisecond
	operation.HedgeDelay = time.Duration(hedge) * time.Millisecond
	return operationValue{operation}, nil
}

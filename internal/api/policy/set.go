package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"woodworks/internal/callers/apikey"
)

// Set is the merged result of all compiled documents. It is immutable, except for the counts of
// hook failures, and safe for concurrent use.
type Set struct {
	Trainers    map[string]Trainer
	Services    map[string]Service
	Classes     map[string]TrafficClass
	RetryBudget RetryBudget
	callers     apikey.Holders[Caller]
	programs    map[string]*program

	mu sync.Mutex
	// hookFailures counts failures by name of the hook. Guarded by mu.
	hookFailures map[string]uint64
}

const (
	// defaultClass is the traffic class of operations and trainers that name none.
	defaultClass = "default"
	// defaultQueueLimit is the queue limit, in requests, of a class that declares none.
	defaultQueueLimit = 1024
)

// defaultRetryBudget applies if no document declares a retry budget.
var defaultRetryBudget = RetryBudget{Percent: 20, MinPerSecond: 10}

// Compile loads and merges documents, given as source text by name, and checks that all names
// they refer to are declared. Errors are of type *DocumentError.
func Compile(sources map[string]string) (*Set, error) {
	s := &Set{
		Trainers:     map[string]Trainer{},
		Services:     map[string]Service{},
		Classes:      map[string]TrafficClass{},
		callers:      apikey.Holders[Caller]{},
		programs:     map[string]*program{},
		hookFailures: map[string]uint64{},
	}
	for _, name := range slices.Sorted(maps.Keys(sources)) {
		p, err := loadProgram(name, sources[name])
		if err != nil {
			return nil, err
		}
		s.programs[name] = p
		if err := s.merge(p.declared); err != nil {
			return nil, err
		}
	}
	if s.RetryBudget == (RetryBudget{}) {
		s.RetryBudget = defaultRetryBudget
	}
	if _, ok := s.Classes[defaultClass]; !ok {
		s.Classes[defaultClass] = TrafficClass{Name: defaultClass, Weight: 1, QueueLimit: defaultQueueLimit}
	}
	return s, s.checkReferences()
}

// Validate returns the error that Compile would return for the same documents.
func Validate(sources map[string]string) error {
	_, err := Compile(sources)
	return err
}

// merge adds the declarations of one document. It returns an error if a name, a caller's key or
// the retry budget is declared already.
func (s *Set) merge(d declarations) error {
	for _, t := range d.trainers {
		if existing, ok := s.Trainers[t.Name]; ok {
			return t.duplicateError("trainer", t.Name, existing.origin)
		}
		s.Trainers[t.Name] = t
	}
	for _, service := range d.services {
		if existing, ok := s.Services[service.Name]; ok {
			return service.duplicateError("service", service.Name, existing.origin)
		}
		s.Services[service.Name] = service
	}
	for _, class := range d.classes {
		if existing, ok := s.Classes[class.Name]; ok {
			return class.duplicateError("traffic_class", class.Name, existing.origin)
		}
		s.Classes[class.Name] = class
	}
	for _, c := range d.callers {
		if !s.callers.Add(c.KeyDigest, c) {
			return c.duplicateError("caller key", c.Name, s.callers[c.KeyDigest].origin)
		}
	}
	for _, budget := range d.retryBudgets {
		if s.RetryBudget != (RetryBudget{}) {
			return budget.duplicateError("retry_budget", "", s.RetryBudget.origin)
		}
		s.RetryBudget = budget
	}
	return nil
}

// duplicateError returns the error for a declaration at o that repeats the one at before.
func (o origin) duplicateError(kind, name string, before origin) error {
	return documentErrorf(o.document, o.line, "%s %q is already declared in document %q", kind, name, before.document)
}

// checkReferences returns an error if a declaration refers to a name that no document declares.
func (s *Set) checkReferences() error {
	for _, t := range s.Trainers {
		if s.Services[t.Service].Kind != EngineService {
			return documentErrorf(t.document, 0, "trainer %q: service %q is not a declared engine service", t.Name, t.Service)
		}
		if _, ok := s.Classes[t.Class]; !ok {
			return documentErrorf(t.document, 0, "trainer %q: traffic_class %q is not declared", t.Name, t.Class)
		}
	}
	for _, service := range s.Services {
		for _, operation := range service.Operations {
			if _, ok := s.Classes[operation.Class]; !ok {
				return documentErrorf(service.document, 0, "service %q operation %q: traffic_class %q is not declared",
					service.Name, operation.Name, operation.Class)
			}
		}
	}
	for _, c := range s.callers {
		if _, ok := s.Trainers[c.Trainer]; c.Trainer != "" && !ok {
			return documentErrorf(c.document, 0, "caller %q: trainer %q is not declared", c.Name, c.Trainer)
		}
	}
	return nil
}

// TrainersOf returns the trainers of an engine service, sorted by name.
func (s *Set) TrainersOf(service string) []Trainer {
	var trainers []Trainer
	for _, t := range s.Trainers {
		if t.Service == service {
			trainers = append(trainers, t)
		}
	}
	slices.SortFunc(trainers, func(a, b Trainer) int { return cmp.Compare(a.Name, b.Name) })
	return trainers
}

// CallerOf returns the caller with the given bearer key, and whether there is one.
func (s *Set) CallerOf(key string) (Caller, bool) { return s.callers.HolderOf(key) }

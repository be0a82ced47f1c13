package scheduler

import (
	"container/heap"
)

// Job is one waiting request as the queue sees it.
type Job struct {
	ID uint64
	// Class names the traffic class.
	Class string
	// Expected is the expected length; longer jobs of a class go first.
	Expected int
	// Sequence breaks ties: lower is older.
	Sequence uint64
}

// Queue orders waiting jobs: classes share by weight, and within a class the
// longest expected go first, then the oldest. It is bounded by class. It is
// not safe for concurrent use.
//
// Weighted sharing is by virtual time: serving a job of a class advances the
// class by 1/weight, and the class that is furthest behind is served next. A
// class that was empty re-enters at the present, so idling earns no credit.
type Queue struct {
	classes map[string]*classQueue
	now     float64
	length  int
}

type classQueue struct {
	name    string
	weight  float64
	limit   int
	virtual float64
	jobs    jobHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{classes: map[string]*classQueue{}} }

// smallestWeight stands in for a weight of 0, so that such a class is served
// last but not never.
const smallestWeight = 0.01

// Configure sets a class's weight and the bound on its waiting jobs.
func (queue *Queue) Configure(class string, weight int64, limit int) {
	held := queue.class(class)
	held.weight = max(float64(weight), smallestWeight)
	held.limit = limit
}

func (queue *Queue) class(name string) *classQueue {
	held, known := queue.classes[name]
	if !known {
		held = &classQueue{name: name, weight: 1, limit: 1}
		queue.classes[name] = held
	}
	return held
}

// Len returns the number of waiting jobs.
func (queue *Queue) Len() int { return queue.length }

// Push adds a job. It reports false if the class is full.
func (queue *Queue) Push(job Job) bool {
	held := queue.class(job.Class)
	if len(held.jobs) >= held.limit {
		return false
	}
	if len(held.jobs) == 0 {
		held.virtual = max(held.virtual, queue.now)
	}
	heap.Push(&held.jobs, job)
	queue.length++
	return true
}

// Pop removes and returns the next job for which startable reports true. Only
// the first job of each class is asked about; a class whose first job cannot
// start yet lets the others pass.
func (queue *Queue) Pop(startable func(Job) bool) (Job, bool) {
	skipped := map[string]bool{}
	for {
		held := queue.nextClass(skipped)
		if held == nil {
			return Job{}, false
		}
		if !startable(held.jobs[0]) {
			skipped[held.name] = true
			continue
		}
		queue.now = held.virtual
		held.virtual += 1 / held.weight
		queue.length--
		return heap.Pop(&held.jobs).(Job), true
	}
}

func (queue *Queue) nextClass(skipped map[string]bool) *classQueue {
	var next *classQueue
	for _, held := range queue.classes {
		if len(held.jobs) == 0 || skipped[held.name] {
			continue
		}
		if next == nil || held.virtual < next.virtual || (held.virtual == next.virtual && held.name < next.name) {
			next = held
		}
	}
	return next
}

// Remove drops a waiting job. It reports false if the job is not waiting.
func (queue *Queue) Remove(class string, id uint64) bool {
	held, known := queue.classes[class]
	if !known {
		return false
	}
	for i, job := range held.jobs {
		if job.ID == id {
			heap.Remove(&held.jobs, i)
			queue.length--
			return true
		}
	}
	return false
}

// jobHeap implements heap.Interface.
type jobHeap []Job

// Len implements sort.Interface.
func (jobs jobHeap) Len() int { return len(jobs) }

// Less implements sort.Interface.
func (jobs jobHeap) Less(i, j int) bool {
	if jobs[i].Expected != jobs[j].Expected {
		return jobs[i].Expected > jobs[j].Expected
	}
	return jobs[i].Sequence < jobs[j].Sequence
}

// Swap implements sort.Interface.
func (jobs jobHeap) Swap(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] }

// Push implements heap.Interface.
func (jobs *jobHeap) Push(job any) { *jobs = append(*jobs, job.(Job)) }

// Pop implements heap.Interface.
func (jobs *jobHeap) Pop() any {
	last := len(*jobs) - 1
	job := (*jobs)[last]
	*jobs = (*jobs)[:last]
	return job
}

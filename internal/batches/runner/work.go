package runner

import "sync"

// workGroup counts the work that Release waits for. Unlike a sync.WaitGroup it takes more work while it is
// waited for, until none is left. The zero value is ready for use.
type workGroup struct {
	mu    sync.Mutex
	count int
	// done is not nil once drain has been called, and closed once no work was left after that.
	done  chan struct{}
	ended bool
}

// begin registers work, and reports false if the wait for it is over. The caller calls end when the work
// has ended.
func (g *workGroup) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.count++
	return true
}

func (g *workGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	g.settle()
}

// start runs f in a goroutine of its own, as work unless the wait for work is over.
func (g *workGroup) start(f func()) {
	counted := g.begin()
	go func() {
		if counted {
			defer g.end()
		}
		f()
	}()
}

// drain returns a channel that is closed once no work is left. From then on begin returns false.
func (g *workGroup) drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.done == nil {
		g.done = make(chan struct{})
	}
	g.settle()
	return g.done
}

// settle closes done if no work is left. The mutex is held.
func (g *workGroup) settle() {
	if g.done != nil && g.count == 0 && !g.ended {
		g.ended = true
		close(g.done)
	}
}

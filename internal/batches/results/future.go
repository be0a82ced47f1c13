package results

// future is the result of a function that runs in a goroutine.
type future[T any] struct {
	// done is closed when the function has returned; value and err are set before.
	done  chan struct{}
	value T
	err   error
}

// async calls get in a goroutine of its own and returns its future.
func async[T any](get func() (T, error)) *future[T] {
	f := &future[T]{done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.value, f.err = get()
	}()
	return f
}

// awaitEither waits until one of two futures has succeeded or both have ended.
func awaitEither[A, B any](a *future[A], b *future[B]) {
	select {
	case <-a.done:
		if a.err != nil {
			<-b.done
		}
	case <-b.done:
		if b.err != nil {
			<-a.done
		}
	}
}

// ended reports whether value and err are set.
func (f *future[T]) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// succeeded reports whether the future has ended without an error.
func (f *future[T]) succeeded() bool { return f.ended() && f.err == nil }

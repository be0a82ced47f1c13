//go:build !cgo

package signals

// hangupIgnoredByParent is not known without cgo; SIGHUP then ends a process that has
// not come as far as Take.
func hangupIgnoredByParent() bool { return false }

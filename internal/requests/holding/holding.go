// Package holding counts the bytes that a daemon holds on behalf of others, and bounds them.
//
// A client may be slow to send its request or to read its answer, and a replica slow to
// take a body; what they have not taken stays in the daemon's memory. One of them may hold
// so much at most, all of one kind so much, and all together so much. Whoever holds bytes
// asks before it takes more, and waits, reads no further or gives up when there is no room:
// the budget itself decides nothing and never blocks. Hundreds of clients that read a byte a
// second fill the share of answers, and what is left stays for the small accounts of prompt ones.
//
// The package owns the counts; it relies on those who hold bytes to say so.
//
// # Usage
//
//	budget := holding.New(holding.LimitsOf(bytes))
//	account, ok := budget.Begin(base) // false: the request is turned away
//	defer account.End()
//	if !account.Take(holding.Answers, n) { ... read no further ... }
//	account.Give(holding.Answers, n)
package holding

import "sync"

// Category is a part of the memory, named by what bytes are held for.
type Category int

// Shares.
const (
	// Connections are the fixed costs of requests under way.
	Connections Category = iota
	// Bodies are bodies that come in, or that a replica has not taken yet.
	Bodies
	// Answers are answers of replicas that are not written yet.
	Answers
	// Pages are results of batches that are not written yet.
	Pages
	numCategories
)

// String names the share in metrics and logs.
func (s Category) String() string {
	return [numCategories]string{"connections", "bodies", "answers", "pages"}[s]
}

// Categories returns all shares.
func Categories() []Category { return []Category{Connections, Bodies, Answers, Pages} }

// Limits are bounds in bytes. The zero value bounds nothing.
type Limits struct {
	// Total bounds what is held in all, 0 being no bound of any kind.
	Total int64
	// PerAccount bounds one account.
	PerAccount int64
	// PerCategory bounds each share.
	PerCategory [numCategories]int64
}

const (
	// accountPercent and sharePart are the parts of the whole, in percent, that one account may
	// have, and all accounts of one share. One body of the largest size must fit beside the
	// answers of others; a quarter is always left for what is not in the fullest share.
	accountPercent  = 70
	categoryPercent = 75
)

// LimitsOf returns the limits of a daemon that may hold so many bytes in all, 0 being no
// bound.
func LimitsOf(all int64) Limits {
	limits := Limits{Total: all, PerAccount: all * accountPercent / 100}
	for _, share := range Categories() {
		limits.PerCategory[share] = all * categoryPercent / 100
	}
	return limits
}

// Budget is the account of a daemon. It is safe for concurrent use.
//
// Invariant: all is the sum of of, which are the sums of what the accounts have.
type Budget struct {
	mu         sync.Mutex
	limits     Limits
	total      int64
	peak       int64
	byCategory [numCategories]int64
}

// New returns an empty budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits changes the bounds. What is held beyond them stays held.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Held returns how many bytes a share holds.
func (b *Budget) Held(share Category) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byCategory[share]
}

// Usage returns how many bytes are held now, and the most that ever were.
func (b *Budget) Usage() (now, most int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// OpenAccount returns an account with a base of fixed cost, and false if there is no room for it.
func (b *Budget) OpenAccount(base int64) (*Account, bool) {
	a := &Account{budget: b}
	if !a.Reserve(Connections, base) {
		return nil, false
	}
	return a, true
}

// Account counts what is held on behalf of one. It is safe for concurrent use. Nil is of no
// budget and has no bound.
type Account struct {
	budget *Budget
	// byCategory is what it has, guarded by the budget's mutex.
	byCategory [numCategories]int64
}

// Reserve counts n more bytes, and reports whether there was room; without room nothing is
// counted.
func (a *Account) Reserve(share Category, n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.Total > 0 && (b.total+n > b.limits.Total || b.byCategory[share]+n > b.limits.PerCategory[share] || a.sum()+n > b.limits.PerAccount) {
		return false
	}
	b.add(a, share, n)
	return true
}

// CanEverFit reports whether an account that had nothing else could have n bytes, however
// little others hold.
func (b *Budget) CanEverFit(share Category, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Total == 0 || n <= min(b.limits.PerCategory[share], b.limits.PerAccount)
}

// Release counts n bytes as held no more.
func (a *Account) Release(share Category, n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, share, -n)
}

// ReleaseAll counts all that is left as held no more. It may be called again.
func (a *Account) ReleaseAll() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	for _, share := range Categories() {
		a.budget.add(a, share, -a.byCategory[share])
	}
}

// sum is what an account has of all shares. The mutex is held.
func (a *Account) sum() (n int64) {
	for _, of := range a.byCategory {
		n += of
	}
	return n
}

// add counts bytes of an account. The mutex is held.
func (b *Budget) add(a *Account, share Category, n int64) {
	a.byCategory[share] += n
	b.byCategory[share] += n
	b.total += n
	b.peak = max(b.peak, b.total)
}

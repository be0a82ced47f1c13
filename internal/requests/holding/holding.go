// Package holding counts and bounds the memory that a daemon holds on behalf of clients.
//
// A client may send its request or read its answer slowly, and a replica may take a body slowly;
// the bytes that are not yet taken stay in the daemon's memory. There are bounds for each account,
// for each category and for the total, so that hundreds of clients that read a byte per second can
// fill the category of answers but leave room for others. The holder of the bytes reserves memory
// before it takes more; without room it waits, stops reading or gives up. The budget itself never
// blocks.
//
// # Usage
//
//	budget := holding.New(holding.LimitsOf(bytes))
//	account, ok := budget.OpenAccount(base) // false: refuse the request
//	defer account.ReleaseAll()
//	if !account.Reserve(holding.Answers, n) { ... stop reading ... }
//	account.Release(holding.Answers, n)
package holding

import "sync"

// Category is the purpose for which bytes are held.
type Category int

const (
	// Connections are the fixed costs of requests in progress.
	Connections Category = iota
	// Bodies are request bodies that are being received or that a replica has not taken yet.
	Bodies
	// Answers are answers of replicas that are not yet written to the client.
	Answers
	// Pages are results of batches that are not yet written to the client.
	Pages
	numCategories
)

// String returns the name of the category in metrics and logs.
func (c Category) String() string {
	return [numCategories]string{"connections", "bodies", "answers", "pages"}[c]
}

// Categories returns all categories.
func Categories() []Category { return []Category{Connections, Bodies, Answers, Pages} }

// Limits are the bounds of a Budget in bytes: in total, for each account and for each category. The
// zero Limits bound nothing.
type Limits struct {
	// Total of 0 disables all three bounds.
	Total       int64
	PerAccount  int64
	PerCategory [numCategories]int64
}

const (
	// accountPercent and categoryPercent are the percentages of the total that one account and one
	// category may hold. A body of the largest size must fit beside the answers of others, and no
	// category can fill all of the memory.
	accountPercent  = 70
	categoryPercent = 75
)

// LimitsOf returns the limits of a daemon that may hold the given number of bytes in total, 0 for
// no limits.
func LimitsOf(total int64) Limits {
	limits := Limits{Total: total, PerAccount: total * accountPercent / 100}
	for _, category := range Categories() {
		limits.PerCategory[category] = total * categoryPercent / 100
	}
	return limits
}

// Budget counts the bytes that a daemon holds. It is safe for concurrent use.
//
// Invariant: total is the sum of byCategory, and byCategory is the sum of the accounts' byCategory.
type Budget struct {
	mu         sync.Mutex
	limits     Limits
	total      int64
	peak       int64
	byCategory [numCategories]int64
}

// New returns an empty Budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits changes the bounds. Bytes held beyond the new bounds stay reserved.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Held returns the number of bytes held in a category.
func (b *Budget) Held(category Category) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byCategory[category]
}

// Usage returns the number of bytes held now and the highest number so far.
func (b *Budget) Usage() (now, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// OpenAccount returns an account with base bytes reserved in Connections, or false if there is no
// room for them.
func (b *Budget) OpenAccount(base int64) (*Account, bool) {
	a := &Account{budget: b}
	if !a.Reserve(Connections, base) {
		return nil, false
	}
	return a, true
}

// Account counts the bytes held on behalf of one request. It is safe for concurrent use. A nil
// Account belongs to no budget and has no bound.
type Account struct {
	budget *Budget
	// byCategory is guarded by budget.mu.
	byCategory [numCategories]int64
}

// Reserve reports whether n more bytes may be held, and if so counts them.
func (a *Account) Reserve(category Category, n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.Total > 0 && (b.total+n > b.limits.Total || b.byCategory[category]+n > b.limits.PerCategory[category] || a.sum()+n > b.limits.PerAccount) {
		return false
	}
	b.add(a, category, n)
	return true
}

// CanEverFit reports whether an otherwise empty account could hold n bytes if other accounts held
// nothing.
func (b *Budget) CanEverFit(category Category, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Total == 0 || n <= min(b.limits.PerCategory[category], b.limits.PerAccount)
}

// Release returns n bytes that were reserved before.
func (a *Account) Release(category Category, n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, category, -n)
}

// ReleaseAll returns all bytes of the account. It may be called more than once.
func (a *Account) ReleaseAll() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	for _, category := range Categories() {
		a.budget.add(a, category, -a.byCategory[category])
	}
}

// sum returns the bytes of the account in all categories. budget.mu must be held.
func (a *Account) sum() (n int64) {
	for _, bytes := range a.byCategory {
		n += bytes
	}
	return n
}

// add adds n bytes, which may be negative, to an account and its budget. b.mu must be held.
func (b *Budget) add(a *Account, category Category, n int64) {
	a.byCategory[category] += n
	b.byCategory[category] += n
	b.total += n
	b.peak = max(b.peak, b.total)
}

package holding_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"woodworks/internal/requests/holding"
)

// No sequence of operations may exceed a bound, and nothing may stay counted after all accounts
// have been released.
func TestNoBoundIsExceeded(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limits := holding.LimitsOf(10_000)
	budget := holding.New(limits)
	accounts := map[*holding.Account][4]int64{}
	for range 20_000 {
		if a, ok := budget.OpenAccount(random.Int64N(100)); ok && len(accounts) < 50 {
			accounts[a] = [4]int64{}
		} else {
			a.ReleaseAll()
		}
		for a, held := range accounts {
			category := holding.Category(random.IntN(4))
			n := random.Int64N(2000)
			switch {
			case random.IntN(3) > 0:
				if a.Reserve(category, n) {
					held[category] += n
				}
			case held[category] > 0:
				a.Release(category, held[category])
				held[category] = 0
			case random.IntN(10) == 0:
				a.ReleaseAll()
				a.ReleaseAll()
				delete(accounts, a)
				continue
			}
			accounts[a] = held
			break
		}
		sum := int64(0)
		for _, category := range holding.Categories() {
			is.True(budget.Held(category) <= limits.PerCategory[category])
			sum += budget.Held(category)
		}
		now, peak := budget.Usage()
		is.Equal(now, sum)
		is.True(now <= peak && peak <= limits.Total)
	}
	for a := range accounts {
		a.ReleaseAll()
	}
	now, _ := budget.Usage()
	is.Equal(now, int64(0))
}

// One account can't use up the memory, nor can one category: others always have room.
func TestOneAccountLeavesRoom(t *testing.T) {
	is := is.New(t)
	budget := holding.New(holding.LimitsOf(1000))
	first, _ := budget.OpenAccount(0)
	for first.Reserve(holding.Answers, 10) {
	}
	is.Equal(budget.Held(holding.Answers), int64(700))
	for {
		other, _ := budget.OpenAccount(0)
		if !other.Reserve(holding.Answers, 10) {
			break
		}
	}
	is.Equal(budget.Held(holding.Answers), int64(750))
	third, ok := budget.OpenAccount(100)
	is.True(ok)
	is.True(third.Reserve(holding.Bodies, 100))
	is.True(!budget.CanEverFit(holding.Bodies, 701))
	is.True(budget.CanEverFit(holding.Bodies, 700))
}

// A nil account and zero limits bound nothing, and new limits apply from then on.
func TestNoLimits(t *testing.T) {
	is := is.New(t)
	var free *holding.Account
	is.True(free.Reserve(holding.Bodies, 1<<40))
	free.Release(holding.Bodies, 1)
	budget := holding.New(holding.Limits{})
	a, ok := budget.OpenAccount(1000)
	is.True(ok)
	budget.SetLimits(holding.LimitsOf(500))
	_, ok = budget.OpenAccount(1)
	is.True(!ok)
	a.ReleaseAll()
	_, ok = budget.OpenAccount(1)
	is.True(ok)
}

// Read returns exactly the bytes of the source, whatever length is announced, and reserves only a
// bounded amount beyond them.
func TestReadIsCompleteAndCounted(t *testing.T) {
	for _, announced := range []int64{-1, 0, 1, 5, 100_000, 1_000_000, 2_000_000} {
		for _, length := range []int{0, 1, 4096, 100_000, 1_000_000} {
			is := is.New(t)
			budget := holding.New(holding.LimitsOf(10_000_000))
			a, _ := budget.OpenAccount(0)
			content := bytes.Repeat([]byte("x"), length)
			read, whole, err := a.Read(holding.Bodies, iotest.HalfReader(bytes.NewReader(content)), announced, 3_000_000, func(n int64) bool { return a.Reserve(holding.Bodies, n) })
			is.NoErr(err)
			is.True(whole)
			is.True(bytes.Equal(read, content))
			is.Equal(budget.Held(holding.Bodies), int64(cap(read)))
			if announced == int64(length) {
				_, peak := budget.Usage()
				is.True(peak <= int64(length)+max(int64(length)/8, 64<<10)+1)
			}
		}
	}
}

// At the limit of the memory or of the length, Read leaves the rest in the source.
func TestReadStopsAtLimits(t *testing.T) {
	is := is.New(t)
	budget := holding.New(holding.LimitsOf(100_000))
	a, _ := budget.OpenAccount(0)
	source := strings.NewReader(strings.Repeat("x", 200_000))
	read, whole, err := a.Read(holding.Answers, source, -1, 1<<30, func(n int64) bool { return a.Reserve(holding.Answers, n) })
	is.NoErr(err)
	is.True(!whole)
	is.True(len(read) > 0)
	is.Equal(len(read)+source.Len(), 200_000)
	is.Equal(budget.Held(holding.Answers), int64(cap(read)))
	read, whole, err = a.Read(holding.Answers, source, -1, 1000, func(int64) bool { return true })
	is.NoErr(err)
	is.True(!whole)
	is.Equal(len(read), 1000)
}

// BenchmarkRead compares Read with io.ReadAll for a page of announced length.
func BenchmarkRead(b *testing.B) {
	page := bytes.Repeat([]byte("x"), 256<<10)
	var unbounded *holding.Account
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _, _ = unbounded.Read(holding.Answers, bytes.NewReader(page), int64(len(page)), 1<<40, func(int64) bool { return true })
		}
	})
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = io.ReadAll(bytes.NewReader(page))
		}
	})
}

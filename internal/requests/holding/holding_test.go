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

// Whatever is asked for in whatever order, no bound is passed, and nothing stays counted
// once all have ended.
func TestNoBoundIsPassed(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limits := holding.LimitsOf(10_000)
	budget := holding.New(limits)
	holders := map[*holding.Account][4]int64{}
	for range 20_000 {
		if a, ok := budget.OpenAccount(random.Int64N(100)); ok && len(holders) < 50 {
			holders[a] = [4]int64{}
		} else {
			a.ReleaseAll()
		}
		for a, had := range holders {
			share := holding.Category(random.IntN(4))
			n := random.Int64N(2000)
			switch {
			case random.IntN(3) > 0:
				if a.Reserve(share, n) {
					had[share] += n
				}
			case had[share] > 0:
				a.Release(share, had[share])
				had[share] = 0
			case random.IntN(10) == 0:
				a.ReleaseAll()
				a.ReleaseAll()
				delete(holders, a)
				continue
			}
			holders[a] = had
			break
		}
		sum := int64(0)
		for _, share := range holding.Categories() {
			is.True(budget.Held(share) <= limits.PerCategory[share])
			sum += budget.Held(share)
		}
		now, most := budget.Usage()
		is.Equal(now, sum)
		is.True(now <= most && most <= limits.Total)
	}
	for a := range holders {
		a.ReleaseAll()
	}
	now, _ := budget.Usage()
	is.Equal(now, int64(0))
}

// One holder can't take all, nor one share: there is always room for others.
func TestOneHolderLeavesRoom(t *testing.T) {
	is := is.New(t)
	budget := holding.New(holding.LimitsOf(1000))
	greedy, _ := budget.OpenAccount(0)
	for greedy.Reserve(holding.Answers, 10) {
	}
	is.Equal(budget.Held(holding.Answers), int64(700))
	for {
		other, _ := budget.OpenAccount(0)
		if !other.Reserve(holding.Answers, 10) {
			break
		}
	}
	is.Equal(budget.Held(holding.Answers), int64(750))
	prompt, ok := budget.OpenAccount(100)
	is.True(ok)
	is.True(prompt.Reserve(holding.Bodies, 100))
	is.True(!budget.CanEverFit(holding.Bodies, 701))
	is.True(budget.CanEverFit(holding.Bodies, 700))
}

// No account and no limits bound nothing; limits set later hold from then on.
func TestLimitsMayBeNone(t *testing.T) {
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

// What is read is what the source has, whatever it announces, and no more is held than its
// bytes and a part of them.
func TestReadsAreWholeAndCounted(t *testing.T) {
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
				_, most := budget.Usage()
				is.True(most <= int64(length)+max(int64(length)/8, 64<<10)+1)
			}
		}
	}
}

// Without room, or beyond the bound, the rest stays with the source.
func TestAReadStopsWhereThereIsNoRoom(t *testing.T) {
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

// A page of 256 KiB with its length announced, read by Read and by the library.
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

package wallclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

// machine is a clock that the test moves.
type machine struct {
	steady time.Duration
	wall   time.Time
}

func (m *machine) read() (time.Duration, time.Time) { return m.steady, m.wall }

func (m *machine) pass(d time.Duration) { m.steady, m.wall = m.steady+d, m.wall.Add(d) }

func TestAJumpThatComesBackIsNotFollowed(t *testing.T) {
	is := is.New(t)
	m := &machine{wall: epoch}
	c := newClock(m.read)
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		m.wall = m.wall.Add(step)
		is.Equal(c.Now(), epoch.Add(m.steady))
		m.pass(30 * time.Second)
		is.Equal(c.Now(), epoch.Add(m.steady))
		m.wall = m.wall.Add(-step)
		is.Equal(c.Now(), epoch.Add(m.steady))
		m.pass(50 * time.Second) // longer than a jump must last, counted from the first one
		is.Equal(c.Now(), epoch.Add(m.steady))
	}
}

func TestAJumpThatLastsIsFollowed(t *testing.T) {
	is := is.New(t)
	m := &machine{wall: epoch}
	c := newClock(m.read)
	m.wall = m.wall.Add(time.Hour)
	is.Equal(c.Now(), epoch)
	m.pass(believedAfter - time.Millisecond)
	is.Equal(c.Now(), epoch.Add(m.steady))
	m.pass(time.Millisecond)
	is.Equal(c.Now(), m.wall)
}

func TestSmallCorrectionsAreFollowed(t *testing.T) {
	is := is.New(t)
	m := &machine{wall: epoch}
	c := newClock(m.read)
	for range 10 {
		m.pass(time.Second)
		m.wall = m.wall.Add(jump / 2)
		is.Equal(c.Now(), m.wall)
	}
}

// The time of day goes on while a machine is suspended. A steady clock that does not made
// of it a jump, which is followed only after a minute.
func TestASuspensionIsNoJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Of a bubble of synctest, whose time is that of the day, the machine has slept half.
		c := New(time.Now)
		began := time.Now()
		time.Sleep(10 * time.Second)
		is.Equal(c.Now().Sub(began), 10*time.Second)
		asleep := New(func() time.Time { return began.Add(time.Since(began) / 2) }) // stands still for half of it
		time.Sleep(10 * time.Second)
		is.True(time.Until(asleep.Now()) < -jump)
		is.Equal(c.Since(began), 20*time.Second)
	})
}

package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/demo/checks"
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/services"
)

const (
	playerCount = 4
	// keyedTries is how many daemons a move with a key is tried at.
	keyedTries = 3
)

// reply is what a player was told of a move.
type reply struct {
	outcome gateway.Outcome
	echo    string
}

// players make moves, each under a body of its own, and come back with the same key after
// a failure.
type players struct {
	*checks.Checks
	clients []*client.Client

	mu sync.Mutex
	// replies are the last ones, by body.
	replies map[string]reply
}

func (p *players) run(ctx context.Context) {
	var playing sync.WaitGroup
	for player := range playerCount {
		playing.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				p.move(ctx, player, number)
				time.Sleep(callerPause)
			}
		})
	}
	playing.Wait()
}

// move makes one move. Every second one has a key, and is tried at up to three
// daemons; every fourth goes to two of them at the same time.
func (p *players) move(ctx context.Context, player, number int) {
	body := fmt.Sprintf("move %d of player %d", number, player)
	key, tries := "", 1
	if number%2 == 0 {
		key, tries = fmt.Sprintf("%013d-player.%04d.%06d", time.Now().UnixMilli(), player, number), keyedTries
	}
	first := player + number
	if number%4 == 0 {
		var second sync.WaitGroup
		defer second.Wait()
		second.Go(func() { p.call(ctx, first+1, key, body) })
	}
	for try := range tries {
		r := p.call(ctx, first+try, key, body)
		p.mu.Lock()
		p.replies[body] = r
		p.mu.Unlock()
		if r.outcome == gateway.Completed {
			return
		}
	}
}

// call asks a daemon for a move.
func (p *players) call(ctx context.Context, daemon int, key, body string) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := p.clients[daemon%len(p.clients)]
	answer, outcome, err := c.CallOperation(ctx, "game-front", "move", key, []byte(body))
	if err != nil {
		return reply{outcome: gateway.Unknown}
	}
	r := reply{outcome: outcome}
	var content fakebackend.Reply
	if outcome == gateway.Completed && json.Unmarshal(answer.Body, &content) == nil {
		r.echo = content.Echo
	}
	return r
}

// settle compares what players were told with what was executed.
func (p *players) settle(plains []*services.Plain) {
	executed := map[string]int{}
	for _, plain := range plains {
		for _, e := range plain.Executed() {
			executed[e.Body]++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for body, r := range p.replies {
		p.Check(atMostOnce, executed[body] <= 1, "%s ran %d times", body, executed[body])
		switch r.outcome {
		case gateway.Completed:
			p.Check(ownAnswer, executed[body] == 1 && r.echo == body, "%s was answered with %q", body, r.echo)
		case gateway.NotExecuted:
			p.Check(notExecuted, executed[body] == 0, "%s was refused and ran", body)
		}
	}
}

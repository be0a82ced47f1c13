package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/demo/fakebackend"
	"woodworks/internal/demo/services"
)

const playerWorkers = 4

// telling is what a player was told of a move.
type telling struct {
	outcome gateway.Outcome
	echo    string
}

// playerLoop makes moves, each under a body of its own, and comes back with the
// same key after a failure.
type playerLoop struct {
	clients []*client.Client
	checks  *checks

	mu   sync.Mutex
	told map[string]telling
}

func (p *playerLoop) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.told)
}

func (p *playerLoop) run(ctx context.Context) {
	var working sync.WaitGroup
	for worker := range playerWorkers {
		working.Go(func() {
			for move := 0; ctx.Err() == nil; move++ {
				p.move(ctx, worker, move)
				time.Sleep(callerPause)
			}
		})
	}
	working.Wait()
}

// move makes one move. Every second one has a key, and is tried at up to three
// daemons; every fourth goes to two of them at the same time.
func (p *playerLoop) move(ctx context.Context, worker, number int) {
	body := fmt.Sprintf("move %d of player %d", number, worker)
	key, tries := "", 1
	if number%2 == 0 {
		key, tries = fmt.Sprintf("%013d-player.%04d.%06d", time.Now().UnixMilli(), worker, number), 3
	}
	if number%4 == 0 {
		var doubled sync.WaitGroup
		defer doubled.Wait()
		doubled.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _, _ = p.clients[(worker+number+1)%len(p.clients)].Call(bounded, "game-front", "move", key, []byte(body))
		})
	}
	for try := range tries {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		answer, outcome, err := p.clients[(worker+number+try)%len(p.clients)].Call(bounded, "game-front", "move", key, []byte(body))
		cancel()
		told := telling{outcome: gateway.Unknown}
		if err == nil {
			told.outcome = outcome
			var reply fakebackend.Reply
			if outcome == gateway.Completed && json.Unmarshal(answer.Body, &reply) == nil {
				told.echo = reply.Echo
			}
		}
		p.mu.Lock()
		p.told[body] = told
		p.mu.Unlock()
		if told.outcome == gateway.Completed {
			return
		}
	}
}

// settle compares what players were told with what was executed.
func (p *playerLoop) settle(plains []*services.Plain) {
	executed := map[string]int{}
	for _, plain := range plains {
		for _, one := range plain.Executed() {
			executed[one.Body]++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for body, told := range p.told {
		p.checks.that(atMostOnce, executed[body] <= 1, "%s ran %d times", body, executed[body])
		switch told.outcome {
		case gateway.Completed:
			p.checks.that(ownAnswer, executed[body] == 1 && told.echo == body, "%s was answered with %q", body, told.echo)
		case gateway.NotExecuted:
			p.checks.that(notExecuted, executed[body] == 0, "%s was refused and ran", body)
		}
	}
}

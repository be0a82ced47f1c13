package handoff

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
)

// The replica sees the caller's request, whichever daemon sends it, and its run is counted
// once, where it was sent.
func TestAPeerSendsTheCallersRequest(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal(answer.Replica, "replica")
		answer.Close()
		is.Equal(asker.sent(), 0)
		is.Equal(len(peer.calls), 1)
		got := peer.calls[0]
		is.Equal([]string{got.RequestID, got.Method, got.Target, got.Host, got.Caller, string(got.Body), got.Header.Get("Id")},
			[]string{"r", http.MethodPost, "/x?y=1", "h", "t", "asked", "r"})
		is.Equal(asker.counted()+peer.counted(), 1)
	})
}

// A request goes direct, once, when the peer doesn't help, whatever keeps it from that. One
// that was silent is left alone: the next request goes direct at once.
func TestARequestGoesRoundAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		before func(z *zone, peer *daemon)
		// most is how long the request may take.
		most time.Duration
		// peerRuns is how often the peer sends it.
		peerRuns int
	}{
		"silent":       {func(z *zone, _ *daemon) { z.fault = silent }, firstPatience + work, 0},
		"not reached":  {func(z *zone, _ *daemon) { z.fault = notReached }, work, 0},
		"no such call": {func(z *zone, _ *daemon) { z.fault = unknownCall }, work, 0},
		"killed":       {func(z *zone, _ *daemon) { z.fault = killed }, work/2 + work, 1},
		"cut off":      {func(z *zone, _ *daemon) { z.fault = unheard }, firstPatience + work, 1},
		"older":        {func(_ *zone, peer *daemon) { peer.version = 6 }, work, 0},
		"stopping":     {func(_ *zone, peer *daemon) { peer.service.Drain(context.Background()) }, work, 0},
		"no replica":   {func(_ *zone, peer *daemon) { peer.does = noReplica }, work, 1},
		"replica's failure": {func(_ *zone, peer *daemon) { peer.does = answersWith(http.StatusInternalServerError, "") },
			2 * work, 1},
		"long answer": {func(_ *zone, peer *daemon) {
			peer.does = answersWith(http.StatusOK, string(make([]byte, maxAnswerBytes+1)))
		}, 2 * work, 1},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
				c.before(z, peer)
				began := time.Now()
				answer, err := asker.ask(context.Background(), asItIs)
				is.NoErr(err)
				is.Equal(string(answer.Body), "whole")
				is.True(time.Since(began) <= c.most)
				is.Equal(asker.sent(), 1)
				is.Equal(peer.sent(), c.peerRuns)
				if name == "no replica" || name == "replica's failure" {
					return // they say nothing of the peer
				}
				began = time.Now()
				_, err = asker.ask(context.Background(), asItIs)
				is.NoErr(err)
				is.Equal(time.Since(began), work)
			})
		})
	}
}

// A peer that is slow, yet there, may still be the first to answer. The run from here is
// then ended.
func TestTheFirstAnswerOfARaceCounts(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		peer.does = func(ctx context.Context, call *forward.Call) (*forward.Answer, error) {
			time.Sleep(firstPatience)
			return answers(ctx, call)
		}
		asker.does = hangs
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		synctest.Wait()
		is.Equal(time.Since(asker.ended), time.Duration(0))
	})
}

// A replica never answered the peer, and the request went direct to the same one, while others
// were there: both attempts went to a replica whose
// answers were lost. The peer tells where it is; and as it is there itself, it gets the
// next request.
func TestARaceAvoidsTheReplicaThatIsSilent(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		peer.does = hangs
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal(asker.calls[0].Avoid, []string{"silent one"})
		synctest.Wait()
		is.Equal(time.Since(peer.ended), time.Duration(0))
		is.True(!asker.beliefs.away(time.Now())(peer.options.Name))
	})
}

// The end of the caller's wait, by leaving or by its deadline, ends the replica's work, and
// the caller hears what is certain.
func TestTheEndOfACallerReachesTheReplica(t *testing.T) {
	for name, left := range map[string]time.Duration{"leaves": 60 * time.Millisecond, "deadline": time.Hour} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
				asker.does, peer.does = hangs, hangs
				ctx, cancel := context.WithTimeout(context.Background(), min(left, 2*time.Second))
				defer cancel()
				began := time.Now()
				_, err := asker.ask(ctx, asItIs)
				var failure *forward.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, forward.MayHaveRun)
				is.True(time.Since(began) <= min(left, 2*time.Second)+2*lastWord)
				time.Sleep(10 * time.Millisecond)
				is.True(peer.ended.Sub(began) >= min(left, 2*time.Second))
				is.Equal(len(peer.service.running), 0)
			})
		})
	}
}

// A cancellation may come before the request: that doesn't run then.
func TestACancellationThatOvertakesItsRequest(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, _, peer *daemon) {
		is.NoErr(peer.service.Cancel(Cancellation{ID: "x"}, &Done{}))
		reply := &Reply{}
		is.NoErr(peer.service.Run(Request{ID: "x", Version: 7, Left: time.Second, MaxAttempts: 1, Target: "/", Host: "h"}, reply))
		is.Equal(reply.Outcome, Busy)
		is.Equal(peer.sent(), 0)
	})
}

// What may not run twice, what is long and what is suspected goes direct, as does all where
// the route allows one attempt.
func TestWhatIsNotHandedOn(t *testing.T) {
	for name, change := range map[string]func(asker *daemon, call *forward.Call){
		"not repeatable": func(_ *daemon, call *forward.Call) { call.Repeatable = false },
		"one attempt":    func(_ *daemon, call *forward.Call) { call.MaxAttempts = 1 },
		"long body":      func(_ *daemon, call *forward.Call) { call.Body = make([]byte, maxBodyBytes+1) },
		"suspected":      func(asker *daemon, call *forward.Call) { asker.options.Quarantine.Ended(call.Content(), "x", "s") },
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
				_, err := asker.ask(context.Background(), func(call *forward.Call) { change(asker, call) })
				is.NoErr(err)
				is.Equal(asker.sent(), 1)
				is.Equal(peer.sent(), 0)
			})
		})
	}
}

// A content that replicas have ended under as far as the peer knows is not run there.
func TestAPeerRefusesWhatItSuspects(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		_, err := asker.ask(context.Background(), func(call *forward.Call) {
			peer.options.Quarantine.Ended(&quarantine.Content{Caller: call.Caller, Method: call.Method, Host: call.Host, Target: call.Target, Body: call.Body}, "x", "s")
		})
		is.NoErr(err)
		is.Equal(peer.sent(), 0)
		is.Equal(asker.sent(), 1)
	})
}

// Both daemons together keep to the attempts of the route, and a failure says all that may
// have run.
func TestAttemptsOfBothDaemonsAreBounded(t *testing.T) {
	for _, lost := range []fault{sound, killed, unheard} {
		virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
			z.fault = lost
			asker.does, peer.does = fails, fails
			_, err := asker.ask(context.Background(), asItIs)
			var failure *forward.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Certainty, forward.MayHaveRun)
			is.Equal(failure.Attempts, 3)
			is.Equal(asker.counted(), 1)
			is.Equal(peer.counted(), 2)
		})
	}
}

// "Not run" is said only if it is certain of both daemons.
func TestNotRunIsTrueOfBothDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		does  behaviour
		fault fault
		want  forward.Certainty
	}{
		"neither":  {noReplica, sound, forward.NotRun},
		"the peer": {fails, sound, forward.MayHaveRun},
		"unknown":  {noReplica, killed, forward.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(is *is.I, z *zone, asker, peer *daemon) {
				z.fault = c.fault
				asker.does, peer.does = noReplica, c.does
				_, err := asker.ask(context.Background(), asItIs)
				var failure *forward.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Certainty, c.want)
			})
		})
	}
}

// A peer never hands on, also if it would choose another daemon for a request of its own.
func TestAHopIsFollowedByNoOther(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		reply := &Reply{}
		is.NoErr(asker.service.Run(Request{ID: "x", Version: 7, Left: time.Second, MaxAttempts: 2, Target: "/", Host: "h"}, reply))
		is.Equal(reply.Outcome, Answered)
		is.Equal(asker.sent(), 1)
		is.Equal(peer.sent(), 0)
	})
}

// A planned stop finishes the requests of peers that it has begun, and takes no more.
func TestAPlannedStopFinishesTheRequestsOfPeers(t *testing.T) {
	virtually(t, func(is *is.I, _ *zone, asker, peer *daemon) {
		drained := make(chan time.Time, 1)
		go func() {
			time.Sleep(work / 2)
			peer.service.Drain(context.Background())
			drained <- time.Now()
		}()
		began := time.Now()
		answer, err := asker.ask(context.Background(), asItIs)
		is.NoErr(err)
		is.Equal(string(answer.Body), "whole")
		is.Equal((<-drained).Sub(began), work)
		is.Equal(asker.sent(), 0)
	})
}

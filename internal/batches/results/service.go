package results

import (
	"context"
	"time"
)

// ServiceName is the name under which a Service is registered with net/rpc.
const ServiceName = "Results"

// The RPC methods of a Service.
const (
	methodResults   = ServiceName + ".Results"
	methodSamples   = ServiceName + ".Samples"
	methodItem      = ServiceName + ".Item"
	methodItems     = ServiceName + ".Items"
	methodBeginning = ServiceName + ".Beginning"
)

// maxPeerPageBytes bounds the texts of one page for a peer. All peers share this daemon's link, and
// each waits for its page only for watcherTimeout.
const maxPeerPageBytes = maxPageBytes / 4

// Service answers queries of peers over net/rpc from the folds of this daemon. The names of its
// exported methods and of the fields of their arguments are part of the protocol and must not
// change. A Service never calls another daemon, so that a query is forwarded at most once.
type Service struct {
	ctx    context.Context
	reader *Reader
}

// Service returns a service that answers queries of peers until the context ends.
func (r *Reader) Service(ctx context.Context) *Service { return &Service{ctx: ctx, reader: r} }

// Results answers a query with a page of at most maxPeerPageBytes of texts, or a single result.
func (s *Service) Results(query Query, page *Page) (err error) {
	query.maxBytes = maxPeerPageBytes
	*page, err = answer(s, query.Wait, query, s.reader.resultsFromFold)
	return err
}

// Item answers with the body of an item.
func (s *Service) Item(query ItemQuery, body *Body) (err error) {
	*body, err = answer(s, 0, query, s.reader.itemFromFold)
	return err
}

// Beginning answers with the offset at which a batch begins.
func (s *Service) Beginning(query BeginningQuery, beginning *Beginning) (err error) {
	*beginning, err = answer(s, 0, query, s.reader.beginningFromFold)
	return err
}

// Samples answers a query for samples of a round, as Results does for a batch.
func (s *Service) Samples(query Query, page *Page) error { return s.Results(query, page) }

// Items answers with items of at most maxPeerPageBytes in all.
func (s *Service) Items(query ItemsQuery, items *Items) (err error) {
	query.maxBytes = maxPeerPageBytes
	*items, err = answer(s, 0, query, s.reader.itemsFromFold)
	return err
}

// answer calls fromFold with a timeout of wait plus catchUpTimeout. wait is how long the query may
// be kept open.
func answer[Q, A any](
	s *Service, wait time.Duration, query Q, fromFold func(context.Context, Q) (A, error),
) (A, error) {
	ctx, cancel := context.WithTimeout(s.ctx, wait+catchUpTimeout)
	defer cancel()
	return fromFold(ctx, query)
}

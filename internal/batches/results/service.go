package results

import (
	"context"
	"time"
)

// ServiceName is the name under which peers call the service of a reader.
const ServiceName = "Results"

// The methods of the service.
const (
	methodResults   = ServiceName + ".Results"
	methodSamples   = ServiceName + ".Samples"
	methodItem      = ServiceName + ".Item"
	methodItems     = ServiceName + ".Items"
	methodBeginning = ServiceName + ".Beginning"
)

// maxPeerPageBytes bounds the texts of one page for a peer, in bytes. It shares this daemon's link with
// all that peers ask for meanwhile, and a page must arrive beside some others within the time that a
// peer waits for it.
const maxPeerPageBytes = maxPageBytes / 4

// Service answers the questions of peers from the folds held here. Its exported methods
// are those of net/rpc: their names, and those of the fields that they take, stay. It never asks
// another daemon, so that a question is passed on once at most.
type Service struct {
	ctx    context.Context
	reader *Reader
}

// Service returns what answers peers until the context ends.
func (r *Reader) Service(ctx context.Context) *Service { return &Service{ctx: ctx, reader: r} }

// Results answers a query. It is exported for net/rpc.
func (s *Service) Results(query Query, page *Page) (err error) {
	query.maxBytes = maxPeerPageBytes
	*page, err = answer(s, query.Wait, query, s.reader.resultsFromFold)
	return err
}

// Item answers with the body of an item. It is exported for net/rpc.
func (s *Service) Item(query ItemQuery, body *Body) (err error) {
	*body, err = answer(s, 0, query, s.reader.itemFromFold)
	return err
}

// Beginning answers where a batch begins. It is exported for net/rpc.
func (s *Service) Beginning(query BeginningQuery, beginning *Beginning) (err error) {
	*beginning, err = answer(s, 0, query, s.reader.beginningFromFold)
	return err
}

// Samples answers a query for samples. It is exported for net/rpc.
func (s *Service) Samples(query Query, page *Page) error { return s.Results(query, page) }

// Items answers with items. It is exported for net/rpc.
func (s *Service) Items(query ItemsQuery, items *Items) (err error) {
	query.maxBytes = maxPeerPageBytes
	*items, err = answer(s, 0, query, s.reader.itemsFromFold)
	return err
}

// answer answers a question that may be kept open for wait within its time.
func answer[Q, A any](
	s *Service, wait time.Duration, query Q, here func(context.Context, Q) (A, error),
) (A, error) {
	ctx, cancel := context.WithTimeout(s.ctx, wait+catchUpTimeout)
	defer cancel()
	return here(ctx, query)
}

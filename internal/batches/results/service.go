package results

import (
	"context"
)

// ServiceName is the name under which peers call the service of a reader.
const ServiceName = "Results"

const (
	methodResults = ServiceName + ".Results"
	methodItem    = ServiceName + ".Item"

	methodBeginning = ServiceName + ".Beginning"
)

// ItemQuery asks for the body of an item. Tenant is whose caller asks.
type ItemQuery struct{ BatchID, Tenant, ItemID string }

// peerPageBytes bounds the texts of one page for a peer, in bytes. It shares this daemon's link with
// all that peers ask for meanwhile: over 60 Mbit/s a page of 900 KiB beside eight others takes
// 1.1 s, longer than it is waited for, and a quarter of that 0.3 s.
const peerPageBytes = pageBytes / 4

// Service answers the questions of peers from the folds held here. Its exported methods
// are those of net/rpc. It never asks another daemon, so that a question is passed on
// once at most.
type Service struct {
	ctx    context.Context
	reader *Reader
}

// Service returns what answers peers until the context ends.
func (r *Reader) Service(ctx context.Context) *Service { return &Service{ctx: ctx, reader: r} }

// Results answers a query. It is exported for net/rpc.
func (s *Service) Results(query Query, page *Page) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, query.Wait+catchUpTimeout)
	defer cancel()
	query.most = peerPageBytes
	*page, err = s.reader.resultsHere(ctx, query)
	return err
}

// Item answers with the body of an item. It is exported for net/rpc.
func (s *Service) Item(query ItemQuery, body *Body) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
	defer cancel()
	*body, err = s.reader.itemHere(ctx, query)
	return err
}

// Beginning answers where a batch begins. It is exported for net/rpc.
func (s *Service) Beginning(query BeginningQuery, beginning *Beginning) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
	defer cancel()
	*beginning, err = s.reader.beginningHere(ctx, query)
	return err
}
